package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/fleet"
)

var tableArgs struct {
	fleetArgs
	wait    uint64
	timeout time.Duration
}

const (
	defaultTableWait  = 30 * time.Second
	tablePollInterval = 250 * time.Millisecond
)

var cmdTable = &command.Command{
	Name:        "table",
	Description: "shows the active table version of every router, and rejected versions",
	Flags: func(s *flaggy.Subcommand) {
		tableArgs.timeout = defaultTableWait
		tableArgs.flags(s)
		s.UInt64(&tableArgs.wait, "w", "wait", "wait until this version is active on all routers that respond")
		s.Duration(&tableArgs.timeout, "t", "timeout", "maximum time to wait")
	},
	Run: runTable,
}

func runTable(c *command.Context) error {
	client, routers, err := tableArgs.connect()
	if err != nil {
		return err
	}
	query := func() []fleet.Response[*statusRow] {
		return fleet.Query[*statusRow](client, routers, admin.PathStatus)
	}
	responses := query()
	if tableArgs.wait > 0 {
		responses, err = waitForTable(c, query, responses)
	}
	if tableArgs.json {
		return errors.Join(err, json.NewEncoder(c.Out).Encode(responses))
	}
	if printErr := printTable(c, responses); printErr != nil {
		return printErr
	}
	if err != nil {
		return err
	}
	return errIfUnreachable(responses)
}

// waitForTable polls the routers until all that respond use the version, or until the timeout.
func waitForTable(c *command.Context, query func() []fleet.Response[*statusRow], responses []fleet.Response[*statusRow]) ([]fleet.Response[*statusRow], error) {
	deadline := time.Now().Add(tableArgs.timeout)
	lastReport := time.Now()
	for {
		behind := routersBehind(responses)
		if len(behind) == 0 {
			return responses, nil
		}
		if time.Now().After(deadline) {
			return responses, fmt.Errorf("version %d is not active on %s after %s", tableArgs.wait, strings.Join(behind, ", "), tableArgs.timeout)
		}
		if time.Since(lastReport) > 2*time.Second {
			lastReport = time.Now()
			_, _ = fmt.Fprintf(c.Err, "waiting for %s\n", strings.Join(behind, ", "))
		}
		time.Sleep(tablePollInterval)
		responses = query()
	}
}

func routersBehind(responses []fleet.Response[*statusRow]) []string {
	var behind []string
	for _, resp := range responses {
		if resp.Error == "" && resp.Value.tableState().version < tableArgs.wait {
			behind = append(behind, resp.Value.name())
		}
	}
	return behind
}

func printTable(c *command.Context, responses []fleet.Response[*statusRow]) error {
	t := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "router\tzone\tversion\tin force for\treader\trefused")
	for _, resp := range responses {
		if resp.Error != "" {
			_, _ = fmt.Fprintf(t, "%s\t%s\tno answer\t\t\t%s\n", resp.Router.Name, resp.Router.Zone, resp.Error)
			continue
		}
		_, _ = fmt.Fprintln(t, resp.Value.tableState().columns())
	}
	return t.Flush()
}

// tableState is what a router's status tells about its table.
type tableState struct {
	name, zone string
	// version is the revision in force, 0 if there is none, age how long it has been so.
	version uint64
	age     time.Duration
	// reader is set if the router reads the platform for others.
	reader bool
	// refused is the newest rejected revision, 0 if there is none, refusal the reason.
	refused uint64
	refusal string
}

func (s *statusRow) tableState() tableState {
	if p := s.Pools; p != nil {
		return tableState{p.Name, p.Zone, p.Table, milliseconds(p.TableAgeMillis), p.Reader, p.RefusedTable, p.Refusal}
	}
	d := s.Servers
	return tableState{d.Name, d.Zone, d.Table, milliseconds(d.TableAgeMillis), d.ReadsPlatform(), d.RefusedTable, d.Refusal}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// columns returns the cells of a router, separated by tabs.
func (s tableState) columns() string {
	refused := ""
	if s.refused > s.version {
		refused = fmt.Sprintf("%d: %s", s.refused, strings.ReplaceAll(s.refusal, "\n", "; "))
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%v\t%s", s.name, s.zone, s.version, s.age.Round(time.Second), s.reader, refused)
}
