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

// zone is some members on a simulated clock whose messages take a random time
// and may be lost.
type zone struct {
	now     time.Duration
	rng     *rand.Rand
	loss    float64
	slow    time.Duration
	members map[string]*member.Members
	names   []string
	silent  map[string]bool
	queue   mail
}

type letter struct {
	at       time.Duration
	from, to string
	msg      any
}

type mail []letter

func (m mail) Len() int           { return len(m) }
func (m mail) Less(i, j int) bool { return m[i].at < m[j].at }
func (m mail) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *mail) Push(x any)        { *m = append(*m, x.(letter)) }
func (m *mail) Pop() any {
	old := *m
	x := old[len(old)-1]
	*m = old[:len(old)-1]
	return x
}

func newZone(n int, seed uint64, loss float64, slow time.Duration) *zone {
	z := &zone{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, slow: slow, members: map[string]*member.Members{}, silent: map[string]bool{}}
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
		delay := time.Millisecond + time.Duration(z.rng.ExpFloat64()*float64(z.slow))
		heap.Push(&z.queue, letter{at: z.now + delay, from: from, to: m.To, msg: m.Msg})
	}
}

// run lets time pass in steps of 50 ms, calling each after every one.
func (z *zone) run(d time.Duration, each func()) {
	for end := z.now + d; z.now < end; {
		z.now += 50 * time.Millisecond
		for len(z.queue) > 0 && z.queue[0].at <= z.now {
			z.deliver(heap.Pop(&z.queue).(letter))
		}
		for _, name := range z.names {
			if !z.silent[name] {
				z.send(name, z.members[name].Step(z.now, member.Tick{}))
			}
		}
		each()
	}
}

func (z *zone) deliver(l letter) {
	if z.silent[l.to] || z.silent[l.from] {
		return
	}
	switch m := l.msg.(type) {
	case *wire.Probe:
		z.send(l.to, z.members[l.to].Step(z.now, member.Probe{From: l.from, Msg: m}))
	case *wire.Ack:
		z.send(l.to, z.members[l.to].Step(z.now, member.Ack{From: l.from, Msg: m}))
	}
}

// live returns how many members see how many live ones at least and at most.
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

func TestSilentMemberIsFoundByAll(t *testing.T) {
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
				t.Errorf("back for %s, a member sees %d of %d", within, least, n)
			}
		})
	}
}

func TestLossAloneMovesNobody(t *testing.T) {
	z := newZone(29, 3, 0.01, 5*time.Millisecond)
	z.run(5*time.Second, func() {})
	z.run(time.Minute, func() {
		if least, _ := z.live(); least < 29 {
			t.Fatalf("at %s a member sees %d of 29", z.now, least)
		}
	})
}

// BenchmarkDetection reports, at 29 routers a zone, how long it takes until
// the first and until every router takes a silent one for dead, and how many
// live ones are taken for dead in an hour with slow and lost messages.
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
	begun := z.now
	z.silent["r01"] = true
	z.run(10*time.Second, func() {
		least, most := z.live()
		if least < 29 && first == 0 {
			first = z.now - begun
		}
		if most < 29 && all == 0 {
			all = z.now - begun
		}
	})
	return first, all
}

// falseDeaths counts the moments of ten minutes at which someone sees less
// than all, each time anew, and returns them by the hour.
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
