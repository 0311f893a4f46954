package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/explain"
)

var countsArgs struct {
	by       string
	every    time.Duration
	from, to string
	logs     []string
}

var cmdCounts = &command.Command{
	Name:        "counts",
	Description: "counts requests in the routers' logs by outcome",
	Flags: func(s *flaggy.Subcommand) {
		countsArgs.by, countsArgs.every = "time", time.Second
		s.String(&countsArgs.by, "b", "by", "count by "+strings.Join(explain.GroupNames(), ", "))
		s.Duration(&countsArgs.every, "e", "every", "with --by time: length of the interval per row")
		s.String(&countsArgs.from, "f", "from", "ignore requests that ended before this time (RFC 3339)")
		s.String(&countsArgs.to, "t", "to", "ignore requests that ended after this time (RFC 3339)")
		s.StringSlice(&countsArgs.logs, "l", "log", "log file, may be repeated; default standard input")
	},
	Run: runCounts,
}

func runCounts(c *command.Context) error {
	if countsArgs.every <= 0 {
		return fmt.Errorf("--every %s: must be a positive duration, such as 1s", countsArgs.every)
	}
	from, err := parseTime("--from", countsArgs.from)
	if err != nil {
		return err
	}
	to, err := parseTime("--to", countsArgs.to)
	if err != nil {
		return err
	}
	records, err := readLogs(c, countsArgs.logs)
	if err != nil {
		return err
	}
	return explain.Counts(c.Out, records, countsArgs.by, countsArgs.every, from, to)
}

// parseTime returns the zero time for an empty text.
func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s %s: must be an RFC 3339 time, such as 2026-01-02T15:04:05Z", flag, text)
	}
	return t, nil
}
