package suspect_test

import (
	"math/rand/v2"
	"reflect"
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

// TestStatus guards against blocking harmless requests and against passing those that crash
// servers.
func TestStatus(t *testing.T) {
	crash := func(server suspect.Server, at time.Duration) func(*suspect.Tracker) {
		return func(tr *suspect.Tracker) { tr.Record(at, suspect.Crash{Digest: 7, Server: server, At: at, Sent: at}) }
	}
	crashSent := func(server suspect.Server, at, sent time.Duration) func(*suspect.Tracker) {
		return func(tr *suspect.Tracker) { tr.Record(at, suspect.Crash{Digest: 7, Server: server, At: at, Sent: sent}) }
	}
	// unanswered is a crash under an attempt of request d that was sent shortly before and got
	// no answer.
	unanswered := func(d suspect.Digest, server suspect.Server, at time.Duration) func(*suspect.Tracker) {
		return func(tr *suspect.Tracker) {
			tr.Record(at, suspect.Crash{Digest: d, Server: server, At: at, Sent: at - 100*ms, Unanswered: true})
		}
	}
	completedTimes := func(times int) func(*suspect.Tracker) {
		return func(tr *suspect.Tracker) {
			for range times {
				tr.MarkCompleted(1, 7)
			}
		}
	}
	completed := func(at time.Duration) func(*suspect.Tracker) {
		return func(tr *suspect.Tracker) { tr.MarkCompleted(at, 7) }
	}
	tests := map[string]struct {
		steps   []func(*suspect.Tracker)
		at      time.Duration
		crashes int
		blocked bool
	}{
		"no crash":                       {nil, time.Second, 0, false},
		"one crash":                      {[]func(*suspect.Tracker){crash(1, 0)}, time.Second, 1, false},
		"one crash, 19 minutes ago":      {[]func(*suspect.Tracker){crash(1, 0)}, 19 * minute, 1, false},
		"one crash, expired":             {[]func(*suspect.Tracker){crash(1, 0)}, 21 * minute, 0, false},
		"two, a minute ago":              {[]func(*suspect.Tracker){crash(1, 0), crash(2, time.Second)}, minute, 2, false},
		"two unanswered attempts":        {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second)}, 4 * second, 2, true},
		"two unanswered attempts, later": {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second)}, 34 * second, 2, false},
		"two, another request present at the second after one elsewhere": {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(8, 5, second), unanswered(7, 2, 3*second), unanswered(8, 2, 3*second)}, 4 * second, 2, false},
		"two, another request present at both":                           {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(8, 1, second), unanswered(7, 2, 3*second), unanswered(8, 2, 3*second)}, 4 * second, 2, false},
		"two, another request present at the second only":                {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second), unanswered(8, 2, 3*second)}, 4 * second, 2, true},
		"two, another server crashed with the second":                    {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second), unanswered(8, 5, 3*second+50*ms)}, 4 * second, 2, false},
		"two, the second failed at once": {[]func(*suspect.Tracker){unanswered(7, 1, second), func(tr *suspect.Tracker) {
			tr.Record(3*second, suspect.Crash{Digest: 7, Server: 2, At: 3 * second, Sent: 3*second - 3*ms, Unanswered: true})
		}}, 4 * second, 2, false},
		"two, the second was being answered":           {[]func(*suspect.Tracker){unanswered(7, 1, second), crashSent(2, 3*second, 2*second)}, 4 * second, 2, false},
		"two, completed just before":                   {[]func(*suspect.Tracker){completed(1), unanswered(7, 1, second), unanswered(7, 2, 3*second)}, 4 * second, 2, false},
		"two, the second reported as answered as well": {[]func(*suspect.Tracker){unanswered(7, 1, second), unanswered(7, 2, 3*second), crashSent(2, 3*second, 2*second)}, 4 * second, 2, false},
		"three":                               {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2)}, minute, 3, true},
		"three over 200 ms, all sent before":  {[]func(*suspect.Tracker){crashSent(1, second, 1), crashSent(2, second+100*ms, 2), crashSent(3, second+200*ms, 3)}, minute, 3, true},
		"later attempt at a known server":     {[]func(*suspect.Tracker){crashSent(1, 5, 1), crashSent(2, 6, 2), crashSent(3, 8, 3), crashSent(3, 8, 7)}, minute, 3, true},
		"earlier attempt at a known server":   {[]func(*suspect.Tracker){crashSent(1, 5, 1), crashSent(2, 6, 2), crashSent(3, 8, 3), crashSent(3, 8, 1)}, minute, 3, false},
		"three in one incident":               {[]func(*suspect.Tracker){crashSent(1, 5, 1), crashSent(2, 6, 2), crashSent(3, 7, 3)}, minute, 3, false},
		"two in one incident, then another":   {[]func(*suspect.Tracker){crashSent(1, 5, 1), crashSent(2, 6, 2), crashSent(3, 20, 10)}, minute, 3, true},
		"one, reported three times":           {[]func(*suspect.Tracker){crash(1, 0), crash(1, 1), crash(1, 2)}, time.Second, 1, false},
		"three, block ended":                  {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2)}, 11 * minute, 3, false},
		"three, expired":                      {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2)}, 21 * minute, 0, false},
		"fourth crash after the block":        {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2), crash(4, 11*minute)}, 20 * minute, 4, true},
		"fourth crash blocks for longer":      {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2), crash(4, 11*minute)}, 50 * minute, 4, true},
		"fourth crash, kept after the block":  {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2), crash(4, 11*minute)}, 90 * minute, 4, false},
		"fifth crash":                         {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2), crash(4, 11*minute), crash(5, 90*minute)}, 240 * minute, 5, true},
		"one of the servers is alive":         {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2), func(tr *suspect.Tracker) { tr.MarkAlive(2, 0, 3) }}, time.Second, 2, false},
		"server was alive before it crashed":  {[]func(*suspect.Tracker){crash(1, 0), crash(2, 5), func(tr *suspect.Tracker) { tr.MarkAlive(2, 0, 3) }}, time.Second, 2, false},
		"next incarnation is alive":           {[]func(*suspect.Tracker){crash(1, 0), crash(2, 5), func(tr *suspect.Tracker) { tr.MarkAlive(2, 6, 9) }}, time.Second, 2, false},
		"completed after three":               {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2), func(tr *suspect.Tracker) { tr.MarkCompleted(3, 7) }}, time.Second, 0, false},
		"completed before three":              {[]func(*suspect.Tracker){completed(1), crash(2, 2), crash(3, 3), crash(4, 4)}, minute, 3, false},
		"completed before four":               {[]func(*suspect.Tracker){completed(1), crash(2, 2), crash(3, 3), crash(4, 4), crash(5, 5)}, minute, 4, true},
		"completed 40 times before seven":     {[]func(*suspect.Tracker){completedTimes(40), crash(2, 2), crash(3, 3), crash(4, 4), crash(5, 5), crash(6, 6), crash(7, 7), crash(8, 8)}, minute, 7, false},
		"completed 40 times before eight":     {[]func(*suspect.Tracker){completedTimes(40), crash(2, 2), crash(3, 3), crash(4, 4), crash(5, 5), crash(6, 6), crash(7, 7), crash(8, 8), crash(9, 9)}, minute, 8, true},
		"completed 3 times before four":       {[]func(*suspect.Tracker){completedTimes(3), crash(2, 2), crash(3, 3), crash(4, 4), crash(5, 5)}, minute, 4, false},
		"completed 3 times before five":       {[]func(*suspect.Tracker){completedTimes(3), crash(2, 2), crash(3, 3), crash(4, 4), crash(5, 5), crash(6, 6)}, minute, 5, true},
		"reported with Extra 2":               {[]func(*suspect.Tracker){func(tr *suspect.Tracker) { tr.Record(2, suspect.Crash{Digest: 7, Server: 2, At: 2, Extra: 2}) }, crash(3, 3), crash(4, 4), crash(5, 5)}, minute, 4, false},
		"reported with Extra above the limit": {[]func(*suspect.Tracker){func(tr *suspect.Tracker) { tr.Record(2, suspect.Crash{Digest: 7, Server: 2, At: 2, Extra: 99}) }, crash(3, 3), crash(4, 4), crash(5, 5), crash(6, 6), crash(7, 7), crash(8, 8), crash(9, 9)}, minute, 8, true},
		"completed long before three":         {[]func(*suspect.Tracker){completed(1), func(tr *suspect.Tracker) { tr.MarkCompleted(minute, 8); tr.MarkCompleted(2*minute, 8) }, crash(2, 2*minute), crash(3, 2*minute+1), crash(4, 2*minute+2)}, 2*minute + second, 3, true},
		"another request completed":           {[]func(*suspect.Tracker){crash(1, 0), crash(2, 1), crash(3, 2), func(tr *suspect.Tracker) { tr.MarkCompleted(3, 8) }}, time.Second, 3, true},
		"reported with a time in the future":  {[]func(*suspect.Tracker){func(tr *suspect.Tracker) { tr.Record(1, suspect.Crash{Digest: 7, Server: 1, At: time.Hour}) }}, 21 * minute, 0, false},
		"zero digest":                         {[]func(*suspect.Tracker){func(tr *suspect.Tracker) { tr.Record(1, suspect.Crash{Server: 1, At: 1}) }}, time.Second, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tr := suspect.New()
			for _, step := range tc.steps {
				step(tr)
			}
			got := tr.Status(tc.at, suspect.Subject{Request: 7})
			if got.Crashes != tc.crashes || got.Blocked(tc.at) != tc.blocked {
				t.Errorf("%d crashes, blocked: %v, want %d, %v", got.Crashes, got.Blocked(tc.at), tc.crashes, tc.blocked)
			}
			tr.Expire(tc.at)
			if again := tr.Status(tc.at, suspect.Subject{Request: 7}); !reflect.DeepEqual(again, got) {
				t.Errorf("status after Expire: %+v, want %+v", again, got)
			}
		})
	}
}

// TestAnyOrder guards against trackers that diverge when the same crashes arrive in another order
// or more than once.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var crashes []suspect.Crash
		for range 60 {
			crashes = append(crashes, suspect.Crash{Digest: suspect.Digest(1 + rng.IntN(9)), Server: suspect.Server(rng.IntN(6)), At: time.Duration(rng.IntN(100)), Sent: time.Duration(rng.IntN(100)), Unanswered: rng.IntN(2) == 0})
		}
		// Keep one crash per request and server.
		slices.SortFunc(crashes, func(a, b suspect.Crash) int { return int(a.At - b.At) })
		seen := map[[2]uint64]bool{}
		crashes = slices.DeleteFunc(crashes, func(e suspect.Crash) bool {
			k := [2]uint64{uint64(e.Digest), uint64(e.Server)}
			repeated := seen[k]
			seen[k] = true
			return repeated
		})
		var want []suspect.Crash
		for order := range 5 {
			tr := suspect.New()
			recorded := append(slices.Clone(crashes), crashes[:len(crashes)/2]...)
			rng.Shuffle(len(recorded), func(i, j int) { recorded[i], recorded[j] = recorded[j], recorded[i] })
			for _, e := range recorded {
				tr.Record(time.Second, e)
			}
			got := tr.TopCrashes(1000)
			if order == 0 {
				want = got
				continue
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("seed %d: crashes differ between two orders (-first +other):\n%s", seed, diff)
			}
		}
	}
}

// TestEvictionKeepsMostCrashes guards against unbounded growth, and against eviction of the
// requests with the most crashes when many requests with one crash arrive.
func TestEvictionKeepsMostCrashes(t *testing.T) {
	tr := suspect.New()
	now := time.Duration(0)
	for server := range suspect.Server(3) {
		now++
		tr.Record(now, suspect.Crash{Digest: 7, Server: server, At: now, Sent: now})
	}
	tr.Record(now, suspect.Crash{Digest: 8, Server: 1, At: now})
	tr.Record(now, suspect.Crash{Digest: 8, Server: 2, At: now})
	const perSecond, seconds = 1600, 60
	for i := range suspect.Digest(perSecond * seconds) {
		now += time.Second / perSecond
		tr.Record(now, suspect.Crash{Digest: 1000 + i, Server: suspect.Server(100 + i/16), At: now})
	}
	if tr.Len() > 4096 {
		t.Errorf("%d requests kept, want at most 4096", tr.Len())
	}
	if s := tr.Status(now, suspect.Subject{Request: 7}); !s.Blocked(now) {
		t.Errorf("the request with three crashes was evicted: %+v", s)
	}
	if s := tr.Status(now, suspect.Subject{Request: 8}); s.Crashes != 2 {
		t.Errorf("the request with two crashes was evicted: %+v", s)
	}
	if top := tr.TopCrashes(5); len(top) != 5 || top[0].Digest != 7 || top[3].Digest != 8 {
		t.Errorf("top crashes: %+v", top)
	}
}
