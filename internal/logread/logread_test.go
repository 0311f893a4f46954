package logread_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// TestParse checks quoting, prefixes, and lines that are not log lines.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		line string
		want map[string]string
	}{
		"plain": {"time=2026-01-01T03:25:43.001Z level=INFO msg=members router=a-0 live=3",
			map[string]string{"time": "2026-01-01T03:25:43.001Z", "level": "INFO", "msg": "members", "router": "a-0", "live": "3"}},
		"collector prefix": {"  3.2 front-1 time=2026-01-01T03:25:43.001Z level=INFO msg=x router=a-0",
			map[string]string{"time": "2026-01-01T03:25:43.001Z", "level": "INFO", "msg": "x", "router": "a-0"}},
		"quoted values": {`time=2026-01-01T03:25:43Z level=WARN msg=x error="a \"b\" = c" code="" n=1`,
			map[string]string{"time": "2026-01-01T03:25:43Z", "level": "WARN", "msg": "x", "error": `a "b" = c`, "code": "", "n": "1"}},
		"no time":           {"level=INFO msg=x", nil},
		"invalid time":      {"time=soon level=INFO msg=x", nil},
		"no event":          {"time=2026-01-01T03:25:43Z level=INFO", nil},
		"empty":             {"", nil},
		"only the time key": {"time=", nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := logread.Parse(tc.line)
			if ok != (tc.want != nil) {
				t.Fatalf("ok is %v", ok)
			}
			if diff := cmp.Diff(tc.want, got.Fields); diff != "" && ok {
				t.Errorf("fields (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEachCountsSkippedLines guards against dropping or miscounting lines between records.
func TestEachCountsSkippedLines(t *testing.T) {
	text := "panic: something\n\ntime=2026-01-01T03:25:43Z level=INFO msg=x router=a-0\n"
	n := 0
	skipped, err := logread.Each(strings.NewReader(text), func(logread.Record) { n++ })
	if err != nil || n != 1 || skipped != 1 {
		t.Errorf("%d lines, %d skipped, error %v", n, skipped, err)
	}
}
