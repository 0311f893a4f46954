package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/internal/burn"
	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/fleet"
)

var burnArgs struct {
	fleetArgs
	picture string
	rows    int
}

const defaultBurnRows = 20

var cmdBurn = &command.Command{
	Name:        "burn",
	Description: "prints the error-budget burn rates of all service levels, highest first",
	Flags: func(s *flaggy.Subcommand) {
		burnArgs.rows = defaultBurnRows
		burnArgs.flags(s)
		s.String(&burnArgs.picture, "o", "picture", "also write a chart to this file, .svg or .png")
		s.Int(&burnArgs.rows, "n", "rows", "number of rows to print")
	},
	Run: runBurn,
}

func runBurn(c *command.Context) error {
	client, routers, err := burnArgs.connect()
	if err != nil {
		return err
	}
	r, err := collectBurn(client, routers)
	if err != nil {
		return err
	}
	if burnArgs.picture != "" {
		if err := r.Save(burnArgs.picture); err != nil {
			return err
		}
	}
	if burnArgs.json {
		err = json.NewEncoder(c.Out).Encode(r)
	} else {
		err = printBurn(c, r)
	}
	if err == nil && len(r.Missing) > 0 {
		return command.ErrFailed
	}
	return err
}

func collectBurn(client *fleet.Client, routers []fleet.Router) (*burn.Report, error) {
	var snapshots []burn.Snapshot
	var unreachable []string
	for _, resp := range fleet.Query[burn.Snapshot](client, routers, admin.PathBurn) {
		if resp.Error != "" {
			unreachable = append(unreachable, resp.Router.Name)
			continue
		}
		snapshots = append(snapshots, resp.Value)
	}
	return burn.Merge(snapshots, unreachable)
}

func printBurn(c *command.Context, r *burn.Report) error {
	t := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "account\tmodel\tobjective\trequests\tburn 5m\tburn 1h\tbudget left\talert")
	for _, l := range r.Levels[:min(burnArgs.rows, len(r.Levels))] {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.0f%%\t%s\n",
			l.Account, l.Model, l.Objective, l.Requests, l.Short, l.Long, 100*l.BudgetLeft, l.Alert)
	}
	_, _ = fmt.Fprintln(t, "\nmodel\tfirst token p50\tp95\tp99\tanswers")
	for _, f := range r.First {
		_, _ = fmt.Fprintf(t, "%s\t%d ms\t%d ms\t%d ms\t%d\n", f.Model, f.P50, f.P95, f.P99, f.Count)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Missing) > 0 {
		_, _ = fmt.Fprintf(c.Out, "no answer from: %s\n", strings.Join(r.Missing, ", "))
	}
	return nil
}
