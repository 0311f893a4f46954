package suspect_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

const (
	minute = time.Minute
	second = time.Second
	ms     = time.Millisecond
)

// TestStanding has servers end under one request, and looks what that says of it.
func TestStanding(t *testing.T) {
	end := func(server suspect.Server, at time.Duration) func(*suspect.Tracker) {
		return func(x *suspect.Tracker) { x.Record(at, suspect.Crash{Digest: 7, Server: server, At: at, Sent: at}) }
	}
	sent := func(server suspect.Server, at, sent time.Duration) func(*suspect.Tracker) {
		return func(x *suspect.Tracker) { x.Record(at, suspect.Crash{Digest: 7, Server: server, At: at, Sent: sent}) }
	}
	// unanswered is an end under a try that was sent just before, by digest 7 or another.
	unanswered := func(d suspect.Digest, server suspect.Server, at time.Duration) func(*suspect.Tracker) {
		return func(x *suspect.Tracker) {
			x.Record(at, suspect.Crash{Digest: d, Server: server, At: at, Sent: at - 100*ms, Unanswered: true})
		}
	}
	ranOften := func(times int) func(*suspect.Tracker) {
		return func(x *suspect.Tracker) {
			for range times {
				x.MarkCompleted(1, 7)
			}
		}
	}
	ran := func(at time.Duration) func(*suspect.Tracker) {
		return func(x *suspect.Tracker) { x.MarkCompleted(at, 7) }
	}
	tests := map[string]struct {
		steps []func(*suspect.Tracker)
		at    time.Duration
		ends  int
		bars  bool
	}{
		"nothing":                          {nil, time.Second, 0, false},
		"one end":                          {[]func(*suspect.Tracker){end(1, 0)}, time.Second, 1, false},
		"one end, some time ago":           {[]func(*suspect.Tracker){end(1, 0)}, 19 * minute, 1, false},
		"one end, long ago":                {[]func(*suspect.Tracker){end(1, 0)}, 21 * minute, 0, false},
		"two, a minute ago":                {[]func(*suspect.Tracker){end(1, 0), end(2, time.Second)}, minute, 2, false},
		"two that stand out":               {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second)}, 4 * second, 2, true},
		"the same, later":                  {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second)}, 34 * second, 2, false},
		"two, with another beside":         {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(8, 5, second), unanswered(7, 2, 3*second), unanswered(8, 2, 3*second)}, 4 * second, 2, false},
		"two, another beside at both":      {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(8, 1, second), unanswered(7, 2, 3*second), unanswered(8, 2, 3*second)}, 4 * second, 2, false},
		"two, another there for the first": {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second), unanswered(8, 2, 3*second)}, 4 * second, 2, true},
		"two, another ended at the moment": {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second), unanswered(8, 5, 3*second+50*ms)}, 4 * second, 2, false},
		"two, the second broke at once": {[]func(*suspect.Tracker){unanswered(7, 1, second), func(x *suspect.Tracker) {
			x.Record(3*second, suspect.Crash{Digest: 7, Server: 2, At: 3 * second, Sent: 3*second - 3*ms, Unanswered: true})
		}}, 4 * second, 2, false},
		"two, the second was answered":     {[]func(*suspect.Tracker){unanswered(7, 1, second), sent(2, 3*second, 2*second)}, 4 * second, 2, false},
		"two, and it ran just before":      {[]func(*suspect.Tracker){ran(1), unanswered(7, 1, second), unanswered(7, 2, 3*second)}, 4 * second, 2, false},
		"two, one told as answered, too":   {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second), sent(2, 3*second, 2*second)}, 4 * second, 2, false},
		"three":                            {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2)}, minute, 3, true},
		"three in a row, all sent before":  {[]func(*suspect.Tracker){sent(1, second, 1), sent(2, second+100*ms, 2), sent(3, second+200*ms, 3)}, minute, 3, true},
		"a later try at a server known":    {[]func(*suspect.Tracker){sent(1, 5, 1), sent(2, 6, 2), sent(3, 8, 3), sent(3, 8, 7)}, minute, 3, true},
		"an earlier try at a server known": {[]func(*suspect.Tracker){sent(1, 5, 1), sent(2, 6, 2), sent(3, 8, 3), sent(3, 8, 1)}, minute, 3, false},
		"three at once, as a rack":         {[]func(*suspect.Tracker){sent(1, 5, 1), sent(2, 6, 2), sent(3, 7, 3)}, minute, 3, false},
		"two at once, then one more":       {[]func(*suspect.Tracker){sent(1, 5, 1), sent(2, 6, 2), sent(3, 20, 10)}, minute, 3, true},
		"one, told three times":            {[]func(*suspect.Tracker){end(1, 0), end(1, 1), end(1, 2)}, time.Second, 1, false},
		"three, long ago":                  {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2)}, 11 * minute, 3, false},
		"three, very long ago":             {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2)}, 21 * minute, 0, false},
		"a fourth, in a trial":             {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2), end(4, 11*minute)}, 20 * minute, 4, true},
		"barred for longer":                {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2), end(4, 11*minute)}, 50 * minute, 4, true},
		"and remembered after that":        {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2), end(4, 11*minute)}, 90 * minute, 4, false},
		"a fifth":                          {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2), end(4, 11*minute), end(5, 90*minute)}, 240 * minute, 5, true},
		"one of the servers lives":         {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2), func(x *suspect.Tracker) { x.MarkAlive(2, 0, 3) }}, time.Second, 2, false},
		"it lived before it ended":         {[]func(*suspect.Tracker){end(1, 0), end(2, 5), func(x *suspect.Tracker) { x.MarkAlive(2, 0, 3) }}, time.Second, 2, false},
		"its next start lives":             {[]func(*suspect.Tracker){end(1, 0), end(2, 5), func(x *suspect.Tracker) { x.MarkAlive(2, 6, 9) }}, time.Second, 2, false},
		"it has run to its end":            {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2), func(x *suspect.Tracker) { x.MarkCompleted(3, 7) }}, time.Second, 0, false},
		"it ran to its end just before":    {[]func(*suspect.Tracker){ran(1), end(2, 2), end(3, 3), end(4, 4)}, minute, 3, false},
		"and a fourth end":                 {[]func(*suspect.Tracker){ran(1), end(2, 2), end(3, 3), end(4, 4), end(5, 5)}, minute, 4, true},
		"it ran many times before, polled": {[]func(*suspect.Tracker){ranOften(40), end(2, 2), end(3, 3), end(4, 4), end(5, 5), end(6, 6), end(7, 7), end(8, 8)}, minute, 7, false},
		"and an eighth end":                {[]func(*suspect.Tracker){ranOften(40), end(2, 2), end(3, 3), end(4, 4), end(5, 5), end(6, 6), end(7, 7), end(8, 8), end(9, 9)}, minute, 8, true},
		"it ran a few times before":        {[]func(*suspect.Tracker){ranOften(3), end(2, 2), end(3, 3), end(4, 4), end(5, 5)}, minute, 4, false},
		"and a fifth end":                  {[]func(*suspect.Tracker){ranOften(3), end(2, 2), end(3, 3), end(4, 4), end(5, 5), end(6, 6)}, minute, 5, true},
		"told by one that saw it run":      {[]func(*suspect.Tracker){func(x *suspect.Tracker) { x.Record(2, suspect.Crash{Digest: 7, Server: 2, At: 2, Extra: 2}) }, end(3, 3), end(4, 4), end(5, 5)}, minute, 4, false},
		"told of more than there may be":   {[]func(*suspect.Tracker){func(x *suspect.Tracker) { x.Record(2, suspect.Crash{Digest: 7, Server: 2, At: 2, Extra: 99}) }, end(3, 3), end(4, 4), end(5, 5), end(6, 6), end(7, 7), end(8, 8), end(9, 9)}, minute, 8, true},
		"it ran to its end long before":    {[]func(*suspect.Tracker){ran(1), func(x *suspect.Tracker) { x.MarkCompleted(minute, 8); x.MarkCompleted(2*minute, 8) }, end(2, 2*minute), end(3, 2*minute+1), end(4, 2*minute+2)}, 2*minute + second, 3, true},
		"another one has run":              {[]func(*suspect.Tracker){end(1, 0), end(2, 1), end(3, 2), func(x *suspect.Tracker) { x.MarkCompleted(3, 8) }}, time.Second, 3, true},
		"told as of a time to come":        {[]func(*suspect.Tracker){func(x *suspect.Tracker) { x.Record(1, suspect.Crash{Digest: 7, Server: 1, At: time.Hour}) }}, 21 * minute, 0, false},
		"a request without an identity":    {[]func(*suspect.Tracker){func(x *suspect.Tracker) { x.Record(1, suspect.Crash{Server: 1, At: 1}) }}, time.Second, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			x := suspect.New()
			for _, step := range tc.steps {
				step(x)
			}
			got := x.Status(tc.at, 7)
			if got.Crashes != tc.ends || got.Blocked(tc.at) != tc.bars {
				t.Errorf("%d ends, barred: %v, want %d, %v", got.Crashes, got.Blocked(tc.at), tc.ends, tc.bars)
			}
			x.Expire(tc.at)
			if again := x.Status(tc.at, 7); again != got {
				t.Errorf("after what is old was forgotten %+v, before %+v", again, got)
			}
		})
	}
}

// TestAnyOrder tells tables of the same ends in orders drawn by seed, some of them twice:
// they come to the same.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var ends []suspect.Crash
		for range 60 {
			ends = append(ends, suspect.Crash{Digest: suspect.Digest(1 + rng.IntN(9)), Server: suspect.Server(rng.IntN(6)), At: time.Duration(rng.IntN(100)), Sent: time.Duration(rng.IntN(100)), Unanswered: rng.IntN(2) == 0})
		}
		// One time for each end, as its server has only one.
		slices.SortFunc(ends, func(a, b suspect.Crash) int { return int(a.At - b.At) })
		first := map[[2]uint64]bool{}
		ends = slices.DeleteFunc(ends, func(e suspect.Crash) bool {
			k := [2]uint64{uint64(e.Digest), uint64(e.Server)}
			was := first[k]
			first[k] = true
			return was
		})
		var want []suspect.Crash
		for order := range 5 {
			x := suspect.New()
			told := append(slices.Clone(ends), ends[:len(ends)/2]...)
			rng.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
			for _, e := range told {
				x.Record(time.Second, e)
			}
			got := x.TopCrashes(1000)
			if order == 0 {
				want = got
				continue
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("seed %d, another order (-first +other):\n%s", seed, diff)
			}
		}
	}
}

// TestFloodKeepsTheWorst notes a flood of requests that were at one end each, 1,600 a
// second for a minute: the table stays small and what is worst is not forgotten.
func TestFloodKeepsTheWorst(t *testing.T) {
	x := suspect.New()
	now := time.Duration(0)
	for server := range suspect.Server(3) {
		now++
		x.Record(now, suspect.Crash{Digest: 7, Server: server, At: now, Sent: now})
	}
	x.Record(now, suspect.Crash{Digest: 8, Server: 1, At: now})
	x.Record(now, suspect.Crash{Digest: 8, Server: 2, At: now})
	const each, seconds = 1600, 60
	for i := range suspect.Digest(each * seconds) {
		now += time.Second / each
		x.Record(now, suspect.Crash{Digest: 1000 + i, Server: suspect.Server(100 + i/16), At: now})
	}
	if x.Len() > 4096 {
		t.Errorf("%d requests are remembered", x.Len())
	}
	if s := x.Status(now, 7); !s.Blocked(now) {
		t.Errorf("the worst is forgotten: %+v", s)
	}
	if s := x.Status(now, 8); s.Crashes != 2 {
		t.Errorf("the second worst is forgotten: %+v", s)
	}
	if worst := x.TopCrashes(5); len(worst) != 5 || worst[0].Digest != 7 || worst[3].Digest != 8 {
		t.Errorf("the worst are %+v", worst)
	}
}
