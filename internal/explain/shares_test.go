package explain_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/explain"
	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// requestLog returns the log records of the requests of an account that arrive in one second.
// The first ones are started, the others refused.
func requestLog(account string, second, arrivals, started int) []logread.Record {
	var records []logread.Record
	add := func(line string) {
		if r, ok := logread.Parse(line); ok {
			records = append(records, r)
		}
	}
	for i := range arrivals {
		head := fmt.Sprintf("time=2026-01-01T00:00:%02d.500Z level=INFO router=a", second)
		id, code := fmt.Sprintf("%s-%d-%d", account, second, i), "overloaded"
		if i < started {
			code = `""`
			add(fmt.Sprintf("%s msg=attempt_end request=%s sent=true total_ms=100", head, id))
		}
		add(fmt.Sprintf("%s msg=request_end request=%s account=%s prompt=80 output=10 code=%s total_ms=100", head, id, account, code))
	}
	return records
}

// TestLeastServed checks which accounts count as backlogged, and their shares.
func TestLeastServed(t *testing.T) {
	type load struct {
		account           string
		arrivals, started int
		seconds           []int
	}
	all := []int{1, 2, 3, 4, 5, 6}
	tests := map[string]struct {
		loads []load
		// want is the first row, "" for none.
		want string
	}{
		"half of the best served":   {[]load{{"moka", 20, 4, all}, {"best", 8, 8, all}}, "00:00:01  moka     0.50  12000  2400   best  4800"},
		"limited by its demand":     {[]load{{"moka", 5, 4, all}, {"best", 8, 8, all}}, "00:00:01  moka     0.80  3000   2400   best  4800"},
		"not refused in one second": {[]load{{"moka", 20, 4, all[1:]}, {"moka", 4, 4, all[:1]}, {"best", 8, 8, all}}, ""},
		"no refusals":               {[]load{{"moka", 4, 4, all}, {"best", 8, 8, all}}, ""},
		"nothing started":           {[]load{{"moka", 20, 0, all}, {"best", 8, 8, all}}, "00:00:01  moka     0.00  12000  0      best  4800"},
		"burst in one second":       {[]load{{"moka", 5, 4, all[1:]}, {"moka", 200, 4, all[:1]}, {"best", 8, 8, all}}, "00:00:01  moka     0.73  22500  2400   best  4800"},
		"a second without requests": {[]load{{"moka", 20, 4, []int{1, 2, 3, 5, 6, 7}}}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var records []logread.Record
			for _, l := range tc.loads {
				for _, second := range l.seconds {
					records = append(records, requestLog(l.account, second, l.arrivals, l.started)...)
				}
			}
			var out bytes.Buffer
			if err := explain.LeastServed(&out, records, 6*time.Second, 5); err != nil {
				t.Fatal(err)
			}
			_, rows, _ := strings.Cut(out.String(), "\n")
			if first, _, _ := strings.Cut(rows, "\n"); first != tc.want {
				t.Errorf("first row %q, want %q", first, tc.want)
			}
		})
	}
}

// TestLateAccountsAreBacklogged: an account whose requests are served after their targets, and never refused, counts as
// backlogged.
func TestLateAccountsAreBacklogged(t *testing.T) {
	tests := map[string]struct {
		target, first int
		want          bool
	}{
		"in time":            {400, 100, false},
		"late":               {400, 401, true},
		"no target is known": {0, 401, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var records []logread.Record
			for second := 1; second <= 6; second++ {
				for account, prompt := range map[string]int{"moka": 80, "best": 800} {
					for _, line := range []string{
						fmt.Sprintf("msg=attempt_end sent=true first_ms=%d total_ms=450", tc.first),
						fmt.Sprintf("msg=request_end account=%s prompt=%d output=10 code= target_ms=%d total_ms=450", account, prompt, tc.target),
					} {
						r, ok := logread.Parse(fmt.Sprintf("time=2026-01-01T00:00:%02d.500Z level=INFO router=a request=%s-%d %s", second, account, second, line))
						if !ok {
							t.Fatal(line)
						}
						records = append(records, r)
					}
				}
			}
			var out bytes.Buffer
			if err := explain.LeastServed(&out, records, 6*time.Second, 5); err != nil {
				t.Fatal(err)
			}
			if got := strings.Contains(out.String(), "moka"); got != tc.want {
				t.Errorf("moka is listed: %v, want %v\n%s", got, tc.want, out.String())
			}
		})
	}
}

func TestLeastServedRejectsPartialSeconds(t *testing.T) {
	for _, window := range []time.Duration{0, -time.Second, 1500 * time.Millisecond} {
		if err := explain.LeastServed(&bytes.Buffer{}, nil, window, 5); err == nil {
			t.Errorf("no error for a window of %s", window)
		}
	}
}
