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
	"github.com/yarrowmast/yarrowmast/internal/router"
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
	query := func() []fleet.Response[router.Status] {
		return fleet.Query[router.Status](client, routers, admin.PathStatus)
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
func waitForTable(c *command.Context, query func() []fleet.Response[router.Status], responses []fleet.Response[router.Status]) ([]fleet.Response[router.Status], error) {
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

func routersBehind(responses []fleet.Response[router.Status]) []string {
	var behind []string
	for _, resp := range responses {
		if resp.Error == "" && resp.Value.Table < tableArgs.wait {
			behind = append(behind, resp.Value.Name)
		}
	}
	return behind
}

func printTable(c *command.Context, responses []fleet.Response[router.Status]) error {
	t := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "router\tzone\tversion\tin force for\treader\trefused")
	for _, resp := range responses {
		if resp.Error != "" {
			_, _ = fmt.Fprintf(t, "%s\t%s\tno answer\t\t\t%s\n", resp.Router.Name, resp.Router.Zone, resp.Error)
			continue
		}
		status := resp.Value
		refused := ""
		if status.RefusedTable > status.Table {
			refused = fmt.Sprintf("%d: %s", status.RefusedTable, strings.ReplaceAll(status.Refusal, "\n", "; "))
		}
		age := (time.Duration(status.TableAgeMillis) * time.Millisecond).Round(time.Second)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%v\t%s\n", status.Name, status.Zone, status.Table, age, status.Reader, refused)
	}
	return t.Flush()
}
