package main

import (
	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/explain"
)

var costsArgs struct{ logs []string }

var cmdCosts = &command.Command{
	Name:        "costs",
	Description: "shows from the routers' logs what their upkeep costs, by role and by kind of message",
	Flags: func(s *flaggy.Subcommand) {
		s.StringSlice(&costsArgs.logs, "l", "log", "log file, may be repeated; default standard input")
	},
	Run: runCosts,
}

func runCosts(c *command.Context) error {
	records, err := readLogs(c, costsArgs.logs)
	if err != nil {
		return err
	}
	return explain.Costs(c.Out, records)
}
