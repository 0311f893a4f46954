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

// Parts of the tests. Requests with deadly crash servers; common is in all requests.
const (
	deadly, common, rare suspect.Digest = 101, 102, 103
)

// crashUnder records that a server crashed while a request with some parts was in flight there.
func crashUnder(server suspect.Server, at time.Duration, request suspect.Digest, parts ...suspect.Digest) func(*suspect.Tracker) {
	return func(tr *suspect.Tracker) {
		tr.Record(at, suspect.Crash{Digest: request, Server: server, At: at, Sent: at - 100*ms})
		for _, p := range parts {
			tr.Record(at, suspect.Crash{Digest: p, Server: server, At: at, Sent: at - 100*ms, Part: true})
		}
	}
}

// completedWith records that requests with some parts completed.
func completedWith(at time.Duration, times int, parts ...suspect.Digest) func(*suspect.Tracker) {
	return func(tr *suspect.Tracker) {
		for range times {
			for _, p := range parts {
				tr.MarkCompleted(at, p)
			}
		}
	}
}

// TestCulprits guards against blocking parts that sound requests share, and against passing those that crash
// servers.
func TestCulprits(t *testing.T) {
	type steps = []func(*suspect.Tracker)
	// three crashes under distinct requests with the deadly part.
	three := steps{crashUnder(1, 1*second, 1, common, deadly), crashUnder(2, 2*second, 2, common, deadly), crashUnder(3, 3*second, 3, common, deadly)}
	// outcome is what becomes of a request with some parts.
	type outcome struct {
		parts   []suspect.Digest
		blocked suspect.Digest
		trials  []suspect.Digest
	}
	with := func(s steps, more ...func(*suspect.Tracker)) steps { return append(slices.Clone(s), more...) }
	tests := map[string]struct {
		steps steps
		at    time.Duration
		want  []outcome
	}{
		"no crash":    {nil, second, []outcome{{parts: []suspect.Digest{common, deadly}}}},
		"two crashes": {three[:2], 4 * second, []outcome{{parts: []suspect.Digest{common, deadly}}}},
		"three crashes, the common part completed before": {with(steps{completedWith(0, 1, common)}, three...), 4 * second, []outcome{
			{parts: []suspect.Digest{common, deadly}, blocked: deadly}, {parts: []suspect.Digest{common}}, {parts: []suspect.Digest{common, rare}},
		}},
		"three crashes, the common part completed after": {with(three, completedWith(4*second, 1, common)), 5 * second, []outcome{
			{parts: []suspect.Digest{common, deadly}, blocked: deadly}, {parts: []suspect.Digest{common}}, {parts: []suspect.Digest{deadly}, blocked: deadly},
		}},
		"three crashes, nothing completed": {three, 4 * second, []outcome{
			{parts: []suspect.Digest{common, deadly}, blocked: deadly}, {parts: []suspect.Digest{common, rare}, trials: []suspect.Digest{common}},
		}},
		"three crashes, the deadly part completed": {with(three, completedWith(4*second, 1, deadly)), 5 * second, []outcome{
			{parts: []suspect.Digest{deadly}}, {parts: []suspect.Digest{common, deadly}, blocked: common},
		}},
		"a rare part at each crash, and a fourth without it": {with(steps{completedWith(0, 9, common)},
			crashUnder(1, 1*second, 1, common, deadly, rare), crashUnder(2, 2*second, 2, common, deadly, rare), crashUnder(3, 3*second, 3, common, deadly, rare), crashUnder(4, 4*second, 4, common, deadly)), 5 * second, []outcome{
			{parts: []suspect.Digest{common, deadly, rare}, blocked: deadly}, {parts: []suspect.Digest{common, rare}, trials: []suspect.Digest{rare}},
		}},
		"crashes without the part that explains others": {with(steps{completedWith(0, 9, common)}, with(three,
			crashUnder(4, 4*second, 4, common, rare), crashUnder(5, 5*second, 5, common, rare), crashUnder(6, 6*second, 6, common, rare))...), 7 * second, []outcome{
			{parts: []suspect.Digest{common, deadly}, blocked: deadly}, {parts: []suspect.Digest{common, rare}, blocked: rare}, {parts: []suspect.Digest{common}},
		}},
		"eight crashes of a part that completed before, nothing else there": {with(steps{completedWith(0, 40, common)},
			crashUnder(1, 1*second, 1, common), crashUnder(2, 2*second, 2, common), crashUnder(3, 3*second, 3, common), crashUnder(4, 4*second, 4, common),
			crashUnder(5, 5*second, 5, common), crashUnder(6, 6*second, 6, common), crashUnder(7, 7*second, 7, common), crashUnder(8, 8*second, 8, common)), 9 * second, []outcome{
			{parts: []suspect.Digest{common}, trials: []suspect.Digest{common}},
		}},
		"a part that completed once, at the deadly one's crashes and one more": {with(steps{completedWith(0, 9, common), completedWith(0, 1, rare)},
			crashUnder(1, 1*second, 1, common, deadly, rare), crashUnder(2, 2*second, 2, common, deadly, rare), crashUnder(3, 3*second, 3, common, deadly, rare), crashUnder(4, 4*second, 4, common, rare)), 5 * second, []outcome{
			{parts: []suspect.Digest{common, deadly}, blocked: deadly}, {parts: []suspect.Digest{common, rare}, trials: []suspect.Digest{rare}}, {parts: []suspect.Digest{common}},
		}},
		"a rack":      {steps{crashUnder(1, second, 1, rare), crashUnder(2, second+20*ms, 2, rare), crashUnder(3, second+40*ms, 3, rare)}, 2 * second, []outcome{{parts: []suspect.Digest{rare}}}},
		"block ended": {with(steps{completedWith(0, 1, common)}, three...), 11 * minute, []outcome{{parts: []suspect.Digest{common, deadly}, trials: []suspect.Digest{deadly}}}},
		"stated by another account, certain": {with(steps{completedWith(0, 1, common)},
			crashUnder(1, 1*second, 1, common, suspect.PartDigest("a", "x")), crashUnder(2, 2*second, 2, common, suspect.PartDigest("a", "x")), crashUnder(3, 3*second, 3, common, suspect.PartDigest("a", "x"))), 4 * second, []outcome{
			{parts: []suspect.Digest{suspect.PartDigest("a", "x")}, blocked: suspect.PartDigest("a", "x")},
			{parts: []suspect.Digest{suspect.PartDigest("b", "x")}, trials: []suspect.Digest{suspect.PartDigest("b", "x")}},
			{parts: []suspect.Digest{suspect.PartDigest("b", "y")}},
		}},
		"stated by another account, completed here": {with(steps{completedWith(0, 1, common, suspect.PartDigest("b", "x"))},
			crashUnder(1, 1*second, 1, common, suspect.PartDigest("a", "x")), crashUnder(2, 2*second, 2, common, suspect.PartDigest("a", "x")), crashUnder(3, 3*second, 3, common, suspect.PartDigest("a", "x"))), 4 * second, []outcome{
			{parts: []suspect.Digest{suspect.PartDigest("b", "x")}},
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tr := suspect.New()
			for _, step := range tc.steps {
				step(tr)
			}
			for _, want := range tc.want {
				got := tr.Status(tc.at, suspect.Subject{Request: 999, Parts: want.parts})
				if got.Part != want.blocked || got.Blocked(tc.at) != (want.blocked != 0) || !reflect.DeepEqual(got.Trials, want.trials) && want.blocked == 0 {
					t.Errorf("parts %v: %+v, want %+v", want.parts, got, want)
				}
			}
		})
	}
}

// TestExplainedCrashesDoNotCount: a request that was at the crashes of a part that is certain to cause them must not
// be held back for them.
func TestExplainedCrashesDoNotCount(t *testing.T) {
	tr := suspect.New()
	completedWith(0, 9, common)(tr)
	for i := range suspect.Server(3) {
		at := time.Duration(1+i) * second
		crashUnder(i, at, suspect.Digest(10+i), common, deadly)(tr)
		crashUnder(i, at, 7, common)(tr)
	}
	crashUnder(3, 4*second, 14, common, deadly)(tr)
	if s := tr.Status(5*second, suspect.Subject{Request: 7, Parts: []suspect.Digest{common}}); s.Crashes != 0 || s.Blocked(5*second) {
		t.Errorf("%+v, want no crash", s)
	}
}

// TestPartsInAnyOrder guards against routers that reach different findings when the same crashes arrive in
// another order.
func TestPartsInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var crashes []suspect.Crash
		for server := range suspect.Server(12) {
			for part := range suspect.Digest(8) {
				if rng.IntN(2) == 0 {
					at := time.Duration(server) * second
					crashes = append(crashes, suspect.Crash{Digest: 100 + part, Server: server, At: at, Sent: at - 50*ms, Part: true, Extra: int(part) / 3})
				}
			}
		}
		var want []suspect.Change
		for order := range 5 {
			tr := suspect.New()
			rng.Shuffle(len(crashes), func(i, j int) { crashes[i], crashes[j] = crashes[j], crashes[i] })
			for _, c := range crashes {
				tr.Record(time.Minute, c)
			}
			got := tr.Changes()
			if order == 0 {
				want = got
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("seed %d: findings differ between two orders (-first +other):\n%s", seed, diff)
			}
			if again := tr.Changes(); again != nil {
				t.Fatalf("seed %d: the same findings are reported again: %v", seed, again)
			}
		}
	}
}

// TestManyPartsAreBounded guards against unbounded growth, and against the eviction of the culprit, when many
// parts come once.
func TestManyPartsAreBounded(t *testing.T) {
	tr := suspect.New()
	now := time.Duration(0)
	for server := range suspect.Server(3) {
		now += second
		crashUnder(server, now, suspect.Digest(10+server), deadly)(tr)
	}
	for i := range suspect.Digest(20_000) {
		now += ms
		crashUnder(suspect.Server(100+i/64), now, 1000+i, 1_000_000+2*i, 1_000_001+2*i)(tr)
		tr.MarkCompleted(now, 9_000_000+i)
	}
	if tr.Len() > 4096 {
		t.Errorf("%d items kept, want at most 4096", tr.Len())
	}
	if s := tr.Status(now, suspect.Subject{Parts: []suspect.Digest{deadly}}); s.Part != deadly {
		t.Errorf("the culprit was evicted: %+v", s)
	}
}

// BenchmarkStatus measures the look at the crashes that each request takes while parts are blocked.
func BenchmarkStatus(b *testing.B) {
	tr := suspect.New()
	for i := range suspect.Digest(4000) {
		crashUnder(suspect.Server(i/16), time.Duration(i)*ms, 1000+i, 10_000+i%500, deadly)(tr)
	}
	s := suspect.Subject{Request: 5, Parts: []suspect.Digest{common, rare}}
	b.ReportAllocs()
	for b.Loop() {
		tr.Status(5*second, s)
	}
}

// BenchmarkAnalyze measures the analysis after each change.
func BenchmarkAnalyze(b *testing.B) {
	tr := suspect.New()
	for i := range suspect.Digest(4000) {
		crashUnder(suspect.Server(i/16), time.Duration(i)*ms, 1000+i, 10_000+i%500, deadly)(tr)
	}
	s := suspect.Subject{Request: 5, Parts: []suspect.Digest{common, rare}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := time.Duration(4000+i) * ms
		tr.Record(at, suspect.Crash{Digest: 8, Server: suspect.Server(i % 3), At: at, Sent: at, Part: true})
		tr.Status(at, s)
	}
}
