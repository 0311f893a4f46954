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
	Description: "tells from the routers' logs which accounts got least of what the best served one got",
	Flags: func(s *flaggy.Subcommand) {
		partsArgs.window, partsArgs.rows = 6*time.Second, 10
		s.Duration(&partsArgs.window, "w", "window", "for how long an account must have waited, in whole seconds")
		s.Int(&partsArgs.rows, "n", "rows", "how many of the least parts to show")
		s.StringSlice(&partsArgs.logs, "l", "log", "a log file, repeated for each; standard input if none is named")
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
