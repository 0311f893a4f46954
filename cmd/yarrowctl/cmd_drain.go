package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/fleet"
	"github.com/yarrowmast/yarrowmast/internal/router"
)

var drainArgs struct {
	fleetArgs
	name string
}

var cmdDrain = &command.Command{
	Name:        "drain",
	Description: "says what is left to do on a leaving or stopping backend server, and when it is safe to stop",
	Flags: func(s *flaggy.Subcommand) {
		drainArgs.flags(s)
		s.AddPositionalValue(&drainArgs.name, "backend", 1, true, "name of the backend server")
	},
	Run: runDrain,
}

// progress is how far a backend server's drain has come.
type progress struct {
	Backend string `json:"backend"`
	// Safe says that every router answered and that none of them uses the
	// backend server or may still start anything there.
	Safe    bool `json:"safe_to_stop"`
	Running int  `json:"running"`
	Leases  int  `json:"leases"`
	// OldestMillis is how long the oldest stream has run.
	OldestMillis int64 `json:"oldest_ms"`
	// Open names routers whose table does not have the mark yet.
	Open []string `json:"mark_not_in_force_on"`
	// Missing names the routers that did not answer.
	Missing []string `json:"no_answer_from"`
}

var errUnknownBackend = errors.New("no router's table lists this backend server; look at the name")

func runDrain(c *command.Context) error {
	asker, routers, err := drainArgs.reach()
	if err != nil {
		return err
	}
	p, known := drainProgress(drainArgs.name, fleet.Query[router.Status](asker, routers, admin.PathStatus))
	if !known && len(p.Missing) == 0 {
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

func drainProgress(name string, answers []fleet.Response[router.Status]) (p progress, known bool) {
	p.Backend = name
	for _, a := range answers {
		if a.Error != "" {
			p.Missing = append(p.Missing, a.Router.Name)
			continue
		}
		b, listed := a.Value.Backends[name]
		known = known || listed
		p.Running += b.Running
		p.Leases += b.Leases
		p.OldestMillis = max(p.OldestMillis, b.OldestMillis)
		if listed && b.Mark != "leaving" && b.Mark != "stopping" {
			p.Open = append(p.Open, a.Value.Name)
		}
	}
	p.Safe = known && p.Running == 0 && p.Leases == 0 && len(p.Open) == 0 && len(p.Missing) == 0
	return p, known
}

func (p *progress) print(c *command.Context) error {
	oldest := (time.Duration(p.OldestMillis) * time.Millisecond).Round(100 * time.Millisecond)
	_, err := fmt.Fprintf(c.Out, "%s: %d requests running, the oldest for %s, %d leases not started\n", p.Backend, p.Running, oldest, p.Leases)
	if err != nil {
		return err
	}
	for _, x := range []struct {
		what  string
		names []string
	}{{"not marked leaving or stopping in the table of", p.Open}, {"no answer from", p.Missing}} {
		if len(x.names) > 0 {
			_, _ = fmt.Fprintf(c.Out, "%s: %s\n", x.what, strings.Join(x.names, ", "))
		}
	}
	word := "not safe to stop yet"
	if p.Safe {
		word = "safe to stop"
	}
	_, err = fmt.Fprintln(c.Out, word)
	return err
}
