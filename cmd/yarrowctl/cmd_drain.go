package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/fleet"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

var drainArgs struct {
	fleetArgs
	name string
}

var cmdDrain = &command.Command{
	Name:        "drain",
	Description: "prints the remaining work of a leaving or stopping backend server and whether it is safe to stop",
	Flags: func(s *flaggy.Subcommand) {
		drainArgs.flags(s)
		s.AddPositionalValue(&drainArgs.name, "backend", 1, true, "name of the backend server")
	},
	Run: runDrain,
}

// progress is the drain state of a backend server across the fleet.
type progress struct {
	Backend string `json:"backend"`
	// Safe is set if every router responded, none has running requests or leases on the
	// backend server, and none may still start requests there.
	Safe    bool `json:"safe_to_stop"`
	Running int  `json:"running"`
	// Leases is the number of leases or granted slots without a running request.
	Leases int `json:"leases"`
	// OldestMillis is the age of the oldest running request.
	OldestMillis int64 `json:"oldest_ms"`
	// Unmarked lists the routers whose table does not mark the backend server as leaving or
	// stopping.
	Unmarked []string `json:"mark_not_in_force_on"`
	// Unreachable lists the routers that did not respond.
	Unreachable []string `json:"no_answer_from"`
}

var errUnknownBackend = errors.New("no router's table lists this backend server; check the name")

func runDrain(c *command.Context) error {
	client, routers, err := drainArgs.connect()
	if err != nil {
		return err
	}
	p, found := drainProgress(drainArgs.name, fleet.Query[*statusRow](client, routers, admin.PathStatus))
	if !found && len(p.Unreachable) == 0 {
		return errUnknownBackend
	}
	if drainArgs.json {
		err = json.NewEncoder(c.Out).Encode(p)
	} else {
		err = p.print(c)
	}
	if err == nil && !p.Safe {
		return command.ErrFailed
	}
	return err
}

func drainProgress(name string, responses []fleet.Response[*statusRow]) (p progress, found bool) {
	p.Backend = name
	granted := 0
	for _, resp := range responses {
		if resp.Error != "" {
			p.Unreachable = append(p.Unreachable, resp.Router.Name)
			continue
		}
		u := resp.Value.backendUse(name)
		found = found || u.known
		p.Running += u.running
		p.Leases += u.leases
		granted += u.granted
		p.OldestMillis = max(p.OldestMillis, u.oldestMillis)
		if u.mayStart {
			p.Unmarked = append(p.Unmarked, resp.Value.name())
		}
	}
	p.Leases += max(0, granted-p.Running)
	p.Safe = found && p.Running == 0 && p.Leases == 0 && len(p.Unmarked) == 0 && len(p.Unreachable) == 0
	return p, found
}

// backendUse is what a router's status tells about one backend server.
type backendUse struct {
	// known is set if the status mentions the backend server.
	known bool
	// mayStart is set unless the router has the mark in force that keeps new requests away.
	mayStart     bool
	running      int
	oldestMillis int64
	// leases are held by the router, granted is the number of slots that it granted as the owner.
	leases, granted int
}

// backendUse returns the use of a backend server. A router with the dispatch scheduler reports
// those that are in use or take no new requests; any other one may get requests from it.
func (s *statusRow) backendUse(name string) backendUse {
	if p := s.Pools; p != nil {
		b, listed := p.Backends[name]
		return backendUse{known: listed, mayStart: listed && !takesNoRequests(table.Mark(b.Mark)), running: b.Running, oldestMillis: b.OldestMillis, leases: b.Leases}
	}
	b, reported := s.Servers.Backends[name]
	return backendUse{
		known: reported || slices.Contains(s.Servers.Owned, name), mayStart: !takesNoRequests(b.Mark),
		running: b.Running, oldestMillis: b.OldestMillis, granted: b.Granted,
	}
}

// takesNoRequests reports whether a mark keeps new requests away.
func takesNoRequests(m table.Mark) bool { return m == table.Leaving || m == table.Stopping }

func (p *progress) print(c *command.Context) error {
	oldest := (time.Duration(p.OldestMillis) * time.Millisecond).Round(100 * time.Millisecond)
	_, err := fmt.Fprintf(c.Out, "%s: %d requests running, the oldest for %s, %d leases not started\n", p.Backend, p.Running, oldest, p.Leases)
	if err != nil {
		return err
	}
	for _, group := range []struct {
		title string
		names []string
	}{{"not marked leaving or stopping in the table of", p.Unmarked}, {"no answer from", p.Unreachable}} {
		if len(group.names) > 0 {
			_, _ = fmt.Fprintf(c.Out, "%s: %s\n", group.title, strings.Join(group.names, ", "))
		}
	}
	conclusion := "not safe to stop yet"
	if p.Safe {
		conclusion = "safe to stop"
	}
	_, err = fmt.Fprintln(c.Out, conclusion)
	return err
}
