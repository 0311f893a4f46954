// Package logread parses the logs of routers. Each line holds the key=value pairs of one event,
// optionally after a prefix from a log collector.
package logread

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"
)

// Record is one log line.
type Record struct {
	// Time is on the clock of the router.
	Time time.Time
	// Event is the value of msg.
	Event  string
	Level  string
	Router string
	// Fields holds all pairs of the line.
	Fields map[string]string
	// Line is the line without the prefix.
	Line string
}

// Int returns the value of a field as an integer, or 0 if it is not one.
func (r *Record) Int(key string) int64 {
	n, err := strconv.ParseInt(r.Fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

const (
	timeKey      = "time="
	maxLineBytes = 1 << 20
)

// Parse parses a line. It reports false if the line is not the log line of a router.
func Parse(line string) (r Record, ok bool) {
	start := strings.Index(line, timeKey)
	if start < 0 {
		return Record{}, false
	}
	r.Line = line[start:]
	r.Fields = parsePairs(r.Line)
	timestamp, err := time.Parse(time.RFC3339Nano, r.Fields["time"])
	if err != nil || r.Fields["msg"] == "" {
		return Record{}, false
	}
	r.Time, r.Event, r.Level, r.Router = timestamp, r.Fields["msg"], r.Fields["level"], r.Fields["router"]
	return r, true
}

func parsePairs(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		line = strings.TrimLeft(line, " ")
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			break
		}
		var value string
		value, line = cutValue(rest)
		fields[key] = value
	}
	return fields
}

// cutValue splits a quoted or plain value off the start of a line.
func cutValue(line string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(line); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, line[len(quoted):]
	}
	value, rest, _ = strings.Cut(line, " ")
	return value, rest
}

// Each calls handle for each record in r. It returns the number of other non-empty lines.
func Each(r io.Reader, handle func(Record)) (skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if record, ok := Parse(lines.Text()); ok {
			handle(record)
		} else if strings.TrimSpace(lines.Text()) != "" {
			skipped++
		}
	}
	return skipped, lines.Err()
}
