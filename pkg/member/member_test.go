package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// zone simulates members on a virtual clock. Messages have random delays and
// may be lost.
type zone struct {
	now       time.Duration
	rng       *rand.Rand
	loss      float64
	meanDelay time.Duration
	members   map[string]*member.Members
	names     []string
	silent    map[string]bool
	queue     messageQueue
}

type envelope struct {
	at       time.Duration
	from, to string
	msg      any
}

type messageQueue []envelope

func (q messageQueue) Len() int           { return len(q) }
func (q messageQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q messageQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *messageQueue) Push(x any)        { *q = append(*q, x.(envelope)) }
func (q *messageQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newZone(n int, seed uint64, loss float64, slow time.Duration) *zone {
	z := &zone{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, meanDelay: slow, members: map[string]*member.Members{}, silent: map[string]bool{}}
	var peers []member.Peer
	for i := range n {
		name := fmt.Sprintf("r%02d", i)
		z.names = append(z.names, name)
		peers = append(peers, member.Peer{Name: name})
	}
	for i, name := range z.names {
		z.members[name] = member.New(name, uint64(i)+1, seed)
		z.send(name, z.members[name].Step(0, member.PlatformList{Peers: peers}))
		z.send(name, z.members[name].Step(0, member.Join{}))
	}
	return z
}

func (z *zone) send(from string, msgs []member.Send) {
	for _, m := range msgs {
		if z.rng.Float64() < z.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(z.rng.ExpFloat64()*float64(z.meanDelay))
		heap.Push(&z.queue, envelope{at: z.now + delay, from: from, to: m.To, msg: m.Msg})
	}
}

// run advances the time in steps of 50 ms and calls each after every step.
func (z *zone) run(d time.Duration, each func()) {
	for end := z.now + d; z.now < end; {
		z.now += 50 * time.Millisecond
		for len(z.queue) > 0 && z.queue[0].at <= z.now {
			z.deliver(heap.Pop(&z.queue).(envelope))
		}
		for _, name := range z.names {
			if !z.silent[name] {
				z.send(name, z.members[name].Step(z.now, member.Tick{}))
			}
		}
		each()
	}
}

func (z *zone) deliver(e envelope) {
	if z.silent[e.to] || z.silent[e.from] {
		return
	}
	switch m := e.msg.(type) {
	case *wire.Probe:
		z.send(e.to, z.members[e.to].Step(z.now, member.Probe{From: e.from, Msg: m}))
	case *wire.Ack:
		z.send(e.to, z.members[e.to].Step(z.now, member.Ack{From: e.from, Msg: m}))
	}
}

// live returns the smallest and the largest number of live members that a
// responsive member sees.
func (z *zone) live() (least, most int) {
	least = len(z.names)
	for _, name := range z.names {
		if z.silent[name] {
			continue
		}
		n := len(z.members[name].Live())
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

// TestAllMembersDetectSilentMember guards against a member that misses another's
// death or return.
func TestAllMembersDetectSilentMember(t *testing.T) {
	const within = 4 * time.Second
	for _, n := range []int{2, 3, 10, 29} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			z := newZone(n, 7, 0, time.Millisecond)
			z.run(5*time.Second, func() {})
			if least, _ := z.live(); least != n {
				t.Fatalf("a member sees %d of %d", least, n)
			}
			z.silent["r01"] = true
			z.run(within, func() {})
			if _, most := z.live(); most != n-1 {
				t.Errorf("after %s a member still sees %d", within, most)
			}
			z.silent["r01"] = false
			z.run(within, func() {})
			if least, _ := z.live(); least != n {
				t.Errorf("%s after its return a member sees %d of %d", within, least, n)
			}
		})
	}
}

// TestMessageLossKillsNoMember guards against live members declared dead because
// of lost messages.
func TestMessageLossKillsNoMember(t *testing.T) {
	z := newZone(29, 3, 0.01, 5*time.Millisecond)
	z.run(5*time.Second, func() {})
	z.run(time.Minute, func() {
		if least, _ := z.live(); least < 29 {
			t.Fatalf("at %s a member sees %d of 29", z.now, least)
		}
	})
}

// BenchmarkDetection measures, with 29 routers, how long the first and the last
// router take to detect a dead member, and how many live members per hour are
// declared dead when messages are delayed and lost.
func BenchmarkDetection(b *testing.B) {
	const trials = 20
	var first, all float64
	for range b.N {
		first, all = 0, 0
		for seed := range uint64(trials) {
			f, a := detect(seed)
			first += f.Seconds() / trials
			all += a.Seconds() / trials
		}
	}
	b.ReportMetric(first, "s-first")
	b.ReportMetric(all, "s-all")
	for _, loss := range []float64{0.001, 0.01, 0.03} {
		b.ReportMetric(falseDeaths(loss), fmt.Sprintf("deaths/h@%g", loss))
	}
}

func detect(seed uint64) (first, all time.Duration) {
	z := newZone(29, seed, 0, time.Millisecond)
	z.run(5*time.Second, func() {})
	start := z.now
	z.silent["r01"] = true
	z.run(10*time.Second, func() {
		least, most := z.live()
		if least < 29 && first == 0 {
			first = z.now - start
		}
		if most < 29 && all == 0 {
			all = z.now - start
		}
	})
	return first, all
}

// falseDeaths simulates ten minutes and returns how often per hour some member
// starts to see fewer than all members.
func falseDeaths(loss float64) float64 {
	z := newZone(29, 11, loss, 20*time.Millisecond)
	z.run(5*time.Second, func() {})
	deaths, below := 0, false
	z.run(10*time.Minute, func() {
		least, _ := z.live()
		if least < 29 && !below {
			deaths++
		}
		below = least < 29
	})
	return float64(deaths) * 6
}
