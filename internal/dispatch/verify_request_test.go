package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// burst is what it costs to take up many streams that nobody remembers.
type burst struct {
	// taken are the streams, goOn those of them that go on.
	taken, goOn int
	// mean and worst are the times until the decisions.
	mean, worst time.Duration
	// calls are those of all routers to the platform, per second, callsOfOne those of the router that made most.
	calls, callsOfOne float64
}

// takeUpMany has streams taken up at all routers for a time, at each one at an interval.
func (f *emulator) takeUpMany(lasts, interval time.Duration) burst {
	type pending struct {
		at     time.Duration
		result <-chan resumeResult
	}
	var open []pending
	b, total, began := burst{}, time.Duration(0), f.now
	due := map[string]time.Duration{}
	for i, address := range f.order {
		due[address] = began + (interval * time.Duration(i) / time.Duration(len(f.order))).Truncate(emulatedStep)
	}
	f.resetCosts()
	f.run(began+lasts+time.Second, func() {
		left := open[:0]
		for _, p := range open {
			if len(p.result) == 0 {
				left = append(left, p)
				continue
			}
			took := f.now - p.at
			total, b.worst = total+took, max(b.worst, took)
			if outcomeOf(p.result) == beganAt {
				b.goOn++
			}
		}
		open = left
		for _, address := range f.order {
			if f.now < began+lasts && f.now >= due[address] {
				due[address] += interval
				b.taken++
				open = append(open, pending{f.now, f.routers[address].takeUp("moka", fmt.Sprint("id-", b.taken))})
			}
		}
	})
	b.mean = total / time.Duration(max(1, b.taken-len(open)))
	seconds := lasts.Seconds()
	b.calls = float64(f.store.calls) / seconds
	for _, n := range f.store.callsBy {
		b.callsOfOne = max(b.callsOfOne, float64(n)/seconds)
	}
	return b
}

// TestManyResumptionsTakeFewCalls: when all routers were lost, callers take up all their streams at once, none of which
// anybody remembers. All must go on soon, and the calls to the platform must not grow with the streams.
func TestManyResumptionsTakeFewCalls(t *testing.T) {
	const (
		// platformRate is the number of calls a second that the smallest platform allows the whole fleet.
		platformRate = 2000
		perRouter    = 20 * time.Millisecond
		lasts        = 2 * time.Second
	)
	for _, routers := range []int{1, 9, 60, 150} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newOneVersionFleet(routers, min(3, routers))
			f.startOver()
			f.run(f.now+600*time.Millisecond, func() {})
			b := f.takeUpMany(lasts, perRouter)
			t.Logf("%d taken up, %d go on, after %v on average, %v at most; %.0f calls a second, %.1f of one router", b.taken, b.goOn, b.mean, b.worst, b.calls, b.callsOfOne)
			if b.goOn != b.taken {
				t.Errorf("%d of %d streams go on", b.goOn, b.taken)
			}
			if b.calls > platformRate/2 {
				t.Errorf("%.0f calls a second", b.calls)
			}
			if most := originTimeout + verifyTimeout + f.routers[f.order[0]].d.verifyInterval() + 2*tickInterval; b.worst > most {
				t.Errorf("a stream waits for %v, at most %v is stated", b.worst, most)
			}
		})
	}
}
