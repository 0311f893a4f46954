package main

import (
	"time"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/explain"
)

var partsArgs struct {
	window time.Duration
	rows   int
	logs   []string
}

var cmdParts = &command.Command{
	Name:        "parts",
	Description: "shows from the routers' logs which accounts got the least service compared with the best served account",
	Flags: func(s *flaggy.Subcommand) {
		partsArgs.window, partsArgs.rows = 6*time.Second, 10
		s.Duration(&partsArgs.window, "w", "window", "how long an account must have had requests refused or late, in whole seconds")
		s.Int(&partsArgs.rows, "n", "rows", "number of rows to print")
		s.StringSlice(&partsArgs.logs, "l", "log", "log file, may be repeated; default standard input")
	},
	Run: runParts,
}

func runParts(c *command.Context) error {
	records, err := readLogs(c, partsArgs.logs)
	if err != nil {
		return err
	}
	return explain.LeastServed(c.Out, records, partsArgs.window, partsArgs.rows)
}
