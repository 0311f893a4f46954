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
	defaultTableWait = 30 * time.Second
	tableAskEvery    = 250 * time.Millisecond
)

var cmdTable = &command.Command{
	Name:        "table",
	Description: "shows which version of the table is in force on every router, and refused edits",
	Flags: func(s *flaggy.Subcommand) {
		tableArgs.timeout = defaultTableWait
		tableArgs.flags(s)
		s.UInt64(&tableArgs.wait, "w", "wait", "wait until this version is in force on all routers that answer")
		s.Duration(&tableArgs.timeout, "t", "timeout", "how long to wait")
	},
	Run: runTable,
}

func runTable(c *command.Context) error {
	asker, routers, err := tableArgs.reach()
	if err != nil {
		return err
	}
	ask := func() []fleet.Response[router.Status] {
		return fleet.Query[router.Status](asker, routers, admin.PathStatus)
	}
	answers := ask()
	if tableArgs.wait > 0 {
		answers, err = waitForTable(c, ask, answers)
	}
	if tableArgs.json {
		return errors.Join(err, json.NewEncoder(c.Out).Encode(answers))
	}
	if printErr := printTable(c, answers); printErr != nil {
		return printErr
	}
	if err != nil {
		return err
	}
	return failIfMissing(answers)
}

// waitForTable asks again and again until the version is in force wherever
// there is an answer.
func waitForTable(c *command.Context, ask func() []fleet.Response[router.Status], answers []fleet.Response[router.Status]) ([]fleet.Response[router.Status], error) {
	deadline := time.Now().Add(tableArgs.timeout)
	told := time.Now()
	for {
		behind := behindTable(answers)
		if len(behind) == 0 {
			return answers, nil
		}
		if time.Now().After(deadline) {
			return answers, fmt.Errorf("version %d is not in force on %s after %s", tableArgs.wait, strings.Join(behind, ", "), tableArgs.timeout)
		}
		if time.Since(told) > 2*time.Second {
			told = time.Now()
			_, _ = fmt.Fprintf(c.Err, "waiting for %s\n", strings.Join(behind, ", "))
		}
		time.Sleep(tableAskEvery)
		answers = ask()
	}
}

func behindTable(answers []fleet.Response[router.Status]) []string {
	var behind []string
	for _, a := range answers {
		if a.Error == "" && a.Value.Table < tableArgs.wait {
			behind = append(behind, a.Value.Name)
		}
	}
	return behind
}

func printTable(c *command.Context, answers []fleet.Response[router.Status]) error {
	t := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "router\tzone\tversion\tin force for\treader\trefused")
	for _, a := range answers {
		if a.Error != "" {
			_, _ = fmt.Fprintf(t, "%s\t%s\tno answer\t\t\t%s\n", a.Router.Name, a.Router.Zone, a.Error)
			continue
		}
		s := a.Value
		refused := ""
		if s.RefusedTable > s.Table {
			refused = fmt.Sprintf("%d: %s", s.RefusedTable, strings.ReplaceAll(s.Refusal, "\n", "; "))
		}
		age := (time.Duration(s.TableAgeMillis) * time.Millisecond).Round(time.Second)
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%v\t%s\n", s.Name, s.Zone, s.Table, age, s.Reader, refused)
	}
	return t.Flush()
}
