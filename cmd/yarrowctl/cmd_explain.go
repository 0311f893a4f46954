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
	Description: "tells from the routers' logs what became of one request and why",
	Flags: func(s *flaggy.Subcommand) {
		s.AddPositionalValue(&explainArgs.request, "request", 1, true, "id of the request")
		s.StringSlice(&explainArgs.logs, "l", "log", "a log file, repeated for each; standard input if none is named")
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
