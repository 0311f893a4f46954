package burn_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/burn"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/front"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func outcome(status int, code, verdict string, first time.Duration) front.Outcome {
	return front.Outcome{Account: "moka", Model: "form", Status: status, Code: code, Verdict: verdict, FirstByte: first, Total: first, Tokens: 1}
}

func findLevel(t *testing.T, r *burn.Report, objective string) burn.ServiceLevel {
	t.Helper()
	for _, l := range r.Levels {
		if l.Objective == objective {
			return l
		}
	}
	t.Fatalf("no service level %s in %+v", objective, r.Levels)
	return burn.ServiceLevel{}
}

// TestMergeBurnRates checks burn rates and alerts of two routers over both windows, and that client
// errors do not count.
func TestMergeBurnRates(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1_700_000_000, 0)}
	objectives := config.Defaults().Objectives
	a, b := burn.New("a", objectives, burn.WithClock(clock.read)), burn.New("b", objectives, burn.WithClock(clock.read))
	for range 95 {
		a.RequestEnded(outcome(200, "", "ran", time.Second))
	}
	for range 5 {
		b.RequestEnded(outcome(502, "answer-cut", "may-have-run", 0))
		a.RequestEnded(outcome(400, "bad-json", "not-run", 0))
	}
	merge := func() *burn.Report {
		r, err := burn.Merge([]burn.Snapshot{a.Snapshot(), b.Snapshot()}, []string{"c"})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	r := merge()
	got := findLevel(t, r, "availability")
	if got.Requests != 100 || got.Long < 49.9 || got.Long > 50.1 || got.Alert != burn.AlertPage || got.BudgetLeft != 0 {
		t.Errorf("unexpected availability %+v", got)
	}
	if r.Missing[0] != "c" || r.First[0].P50 < 990 || r.First[0].P50 > 1010 {
		t.Errorf("unexpected report %+v", r)
	}
	if file := filepath.Join(t.TempDir(), "burn.svg"); r.Save(file) != nil {
		t.Error("the chart was not written")
	}
	clock.now = clock.now.Add(10 * time.Minute)
	if got = findLevel(t, merge(), "availability"); got.Short != 0 || got.Long == 0 || got.Alert != burn.AlertNone {
		t.Errorf("after 10 minutes %+v", got)
	}
	clock.now = clock.now.Add(time.Hour)
	if r = merge(); len(r.Levels) != 0 {
		t.Errorf("after an hour %+v", r.Levels)
	}
}
