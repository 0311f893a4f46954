package measure

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/standin/judge"
)

const smallScenario = `
seed: 3
duration: 1s
zones:
  - {name: a, routers: 2, backends: [{name: s1, model: m, slots: 4, tokens_per_second: 400}]}
  - {name: b, routers: 1, backends: [{name: s2, model: m, slots: 4, tokens_per_second: 400}]}
accounts:
  - {name: x, weight: 1, model: m, routers: [a-0], backlog: 8, tokens: {distribution: uniform, min: 5, max: 20}}
  - {name: y, weight: 1, model: m, routers: all, backlog: 8, tokens: {distribution: fixed, max: 10}, repeatable: false}
faults:
  - {at: 200ms, for: 300ms, kind: pause, target: a-1}
  - {at: 300ms, kind: edit, target: x}
`

// TestFleetUnderFaults guards against lost, mixed or repeated requests while routers pause and the
// table changes.
func TestFleetUnderFaults(t *testing.T) {
	for _, policy := range []string{PolicyFleet, PolicyOwners} {
		t.Run(policy, func(t *testing.T) {
			s, err := Parse("small.yaml", []byte(smallScenario))
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(s, policy, func(string) {})
			if err != nil {
				t.Fatal(err)
			}
			if violations := r.Violations(); len(violations) > 0 {
				t.Errorf("violations: %v", violations)
			}
			if r.Answered == 0 || r.Requests != r.Answered+r.RefusedNotRun+r.MayHaveRun {
				t.Errorf("request counts do not add up: %+v", r)
			}
		})
	}
}

func TestParseRejects(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":  "sed: 1\n" + smallScenario,
		"no zones":       "seed: 1",
		"unknown target": smallScenario + "  - {at: 1s, kind: pause, target: nope}\n",
		"unknown kind":   smallScenario + "  - {at: 1s, kind: nope}\n",
		"unknown policy": smallScenario + "policies: [nope]\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse("x.yaml", []byte(text)); err == nil {
				t.Error("no error for an invalid scenario")
			}
		})
	}
}

func TestLargestGap(t *testing.T) {
	at := func(s int, tokens float64, waiting bool) judge.Point {
		return judge.Point{At: time.Duration(s) * time.Second, Tokens: tokens, Waiting: waiting}
	}
	tests := map[string]struct {
		a, b []judge.Point
		want float64
	}{
		"equal service":         {[]judge.Point{at(0, 0, true), at(2, 10, true)}, []judge.Point{at(0, 0, true), at(2, 10, true)}, 10},
		"one ahead":             {[]judge.Point{at(0, 0, true), at(1, 50, true), at(2, 90, true)}, []judge.Point{at(0, 0, true)}, 90},
		"not while one idles":   {[]judge.Point{at(0, 0, true), at(2, 90, true)}, []judge.Point{at(0, 0, true), at(1, 0, false)}, 0},
		"ahead and then behind": {[]judge.Point{at(0, 0, true), at(1, 40, true)}, []judge.Point{at(0, 0, true), at(2, 60, true)}, 60},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := largestGap(tc.a, tc.b, 1, 1).gap; got != tc.want {
				t.Errorf("gap %v, want %v", got, tc.want)
			}
		})
	}
}
