package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// TestPortsAreGivenOnce draws the same port twice before anybody listens there, as
// happened to two routers of one run: the second gets another one.
func TestPortsAreGivenOnce(t *testing.T) {
	g, drawn := givenPorts{}, []int{0, 0, 1}
	draw := func() int {
		next := firstPort + drawn[0]
		drawn = drawn[1:]
		return next
	}
	first, err := g.freeAddress(draw)
	if err != nil {
		t.Fatal(err)
	}
	if second, err := g.freeAddress(draw); err != nil || second == first {
		t.Errorf("%s is given twice (%v)", second, err)
	}
}

// TestPlanFollowsTheSeed looks that a seed always draws the same faults, within
// the run, and that others draw others.
func TestPlanFollowsTheSeed(t *testing.T) {
	const length = 12 * time.Second
	a, b := newPlan(7, length, routers, workers), newPlan(7, length, routers, workers)
	if diff := cmp.Diff(a, b); diff != "" || len(a) == 0 {
		t.Errorf("%d faults; the same seed differs:\n%s", len(a), diff)
	}
	if cmp.Equal(a, newPlan(8, length, routers, workers)) {
		t.Error("another seed draws the same")
	}
	for _, s := range a {
		most := routers
		if strikesWorker(s.Fault) {
			most = workers
		}
		if s.At < calmStart || s.At+s.For > length || s.Target < 0 || s.Target >= most {
			t.Errorf("fault %+v is out of bounds", s)
		}
	}
}

// whole is the body of a whole stream.
func whole(id string) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(eventText(id, i))
	}
	return b.String()
}

// TestJudge shows that each check can fail, and does not where nothing is
// wrong.
func TestJudge(t *testing.T) {
	const revoked = 3 * time.Second
	tests := map[string]struct {
		answer response
		ran    int
		want   string
	}{
		"answered":                     {response{Kind: Submit, Status: 200, Body: "answer to x", Complete: true}, 1, ""},
		"stream":                       {response{Kind: PlainStream, Status: 200, Body: whole("x"), Complete: true}, 1, ""},
		"stream taken up elsewhere":    {response{Kind: ResumableStream, Status: 200, Body: whole("x"), Complete: true}, 2, ""},
		"stream cut visibly":           {response{Kind: PlainStream, Status: 200, Body: whole("x")[:100]}, 1, ""},
		"no answer":                    {response{Kind: Submit}, 1, ""},
		"refused":                      {response{Kind: Submit, Status: 503}, 0, ""},
		"in doubt":                     {response{Kind: Submit, Status: 502}, 1, ""},
		"key taken away a moment ago":  {response{Kind: Lookup, Status: 200, Body: "answer to x", Complete: true, RevokedKey: true, SentAt: revoked + time.Second}, 1, ""},
		"ran twice":                    {response{Kind: Submit, Status: 200, Body: "answer to x", Complete: true}, 2, RuleRanTwice},
		"stream ran twice":             {response{Kind: PlainStream}, 2, RuleRanTwice},
		"refused and ran":              {response{Kind: Submit, Status: 503}, 1, RuleRefusedButRan},
		"over its share and ran":       {response{Kind: ResumableStream, Status: 429}, 1, RuleRefusedButRan},
		"another's answer":             {response{Kind: Lookup, Status: 200, Body: "answer to y", Complete: true}, 1, RuleWrongBody},
		"an answer that looks whole":   {response{Kind: Lookup, Status: 200, Body: "answer", Complete: true}, 1, RuleWrongBody},
		"stream with an event missing": {response{Kind: ResumableStream, Status: 200, Body: strings.Replace(whole("x"), eventText("x", 3), "", 1), Complete: true}, 1, RuleWrongBody},
		"stream with an event twice":   {response{Kind: ResumableStream, Status: 200, Body: eventText("x", 1) + whole("x")}, 1, RuleWrongBody},
		"stream that ends too soon":    {response{Kind: ResumableStream, Status: 200, Body: eventText("x", 1), Complete: true}, 1, RuleWrongBody},
		"key taken away long ago":      {response{Kind: Lookup, Status: 200, Body: "answer to x", Complete: true, RevokedKey: true, SentAt: revoked + propagationLimit + 1}, 1, RuleRevokedKey},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			j := &checker{revokedAt: revoked}
			tc.answer.ID = "x"
			j.add(tc.answer)
			var runs []standin.Run
			for range tc.ran {
				runs = append(runs, standin.Run{ID: "x"})
			}
			got := j.evaluate(runs)
			if (tc.want == "") != (len(got) == 0) || len(got) > 0 && got[0].Rule != tc.want {
				t.Errorf("breaches %v, want %q", got, tc.want)
			}
		})
	}
}

// seeds that are played by the tests: a short draw, and those that ever showed a
// fault, with a line on its cause.
var seeds = map[string]uint64{
	"a short draw": 1,
}

// TestSoak plays faults against real router processes.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "yarrowmast")
	if out, err := exec.Command("go", "build", "-tags", "soak", "-o", binary, "../../cmd/yarrowmast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			r := Run{Binary: binary, Seed: seed, Length: 5 * time.Second, Log: t.Logf}
			rep, err := r.Play()
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range rep.Breaches {
				t.Error(b)
			}
			if rep.Requests == 0 || rep.By[200] == 0 {
				t.Errorf("nothing was answered: %+v", rep)
			}
		})
	}
}
