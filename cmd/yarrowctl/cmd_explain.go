package main

import (
	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/explain"
)

var explainArgs struct {
	request string
	logs    []string
}

var cmdExplain = &command.Command{
	Name:        "explain",
	Description: "shows from the routers' logs how one request ended and why",
	Flags: func(s *flaggy.Subcommand) {
		s.AddPositionalValue(&explainArgs.request, "request", 1, true, "request ID")
		s.StringSlice(&explainArgs.logs, "l", "log", "log file, may be repeated; default standard input")
	},
	Run: runExplain,
}

func runExplain(c *command.Context) error {
	records, err := readLogs(c, explainArgs.logs)
	if err != nil {
		return err
	}
	return explain.Explain(c.Out, explainArgs.request, records)
}
