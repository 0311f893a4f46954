// Package logread reads the logs of routers back: one line of key=value pairs
// for each event, with whatever a collector put before them.
package logread

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"
)

// Record is one line of a log.
type Record struct {
	// Time is on the clock of the router that wrote it.
	Time time.Time
	// Event is the line's msg, Router who wrote it.
	Event  string
	Level  string
	Router string
	// Fields are all pairs of the line.
	Fields map[string]string
	// Line is the line from its time on.
	Line string
}

// Int returns a field as a number, 0 if it is none.
func (r *Record) Int(key string) int64 {
	n, err := strconv.ParseInt(r.Fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

const (
	timeKey = "time="
	// maxLine is the longest line that is read.
	maxLine = 1 << 20
)

// Parse reads one line; ok is false if it is none of a router's.
func Parse(line string) (r Record, ok bool) {
	at := strings.Index(line, timeKey)
	if at < 0 {
		return Record{}, false
	}
	r.Line = line[at:]
	r.Fields = pairs(r.Line)
	t, err := time.Parse(time.RFC3339Nano, r.Fields["time"])
	if err != nil || r.Fields["msg"] == "" {
		return Record{}, false
	}
	r.Time, r.Event, r.Level, r.Router = t, r.Fields["msg"], r.Fields["level"], r.Fields["router"]
	return r, true
}

// pairs splits a line into its pairs.
func pairs(line string) map[string]string {
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

// cutValue takes a value, quoted or plain, off the beginning of a line.
func cutValue(line string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(line); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, line[len(quoted):]
	}
	value, rest, _ = strings.Cut(line, " ")
	return value, rest
}

// Each calls use for every line of a router's in r and returns how many lines
// were something else.
func Each(r io.Reader, use func(Record)) (skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if record, ok := Parse(lines.Text()); ok {
			use(record)
		} else if strings.TrimSpace(lines.Text()) != "" {
			skipped++
		}
	}
	return skipped, lines.Err()
}
