package pool_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// zonePair is two owners of one model, each with 8 slots and an unlimited
// backlog of one account with limits. The shares between them can be dropped.
type zonePair struct {
	owners       [2]*pool.Owner
	pools        [2]wire.Pool
	running      [2][]wire.LeaseUse
	granted      [2]int
	maxRunning   int
	disconnected bool
}

func newZonePair(l pool.Limit) *zonePair {
	z := &zonePair{pools: [2]wire.Pool{wire.NewPool("m", "a", 0), wire.NewPool("m", "b", 0)}}
	for i := range z.owners {
		o := pool.New("o", z.pools[i], 0, pool.WithTakeoverDelay(0))
		o.Step(0, pool.Servers{List: []pool.Server{{Name: "s", Slots: 8, AcceptsRequests: true}}})
		o.Step(0, pool.Siblings{Nodes: map[wire.Pool]string{z.pools[1-i]: "o"}})
		o.Step(0, pool.Limits{Of: map[string]pool.Limit{"x": l}})
		z.owners[i] = o
	}
	return z
}

// step advances an owner by 50 ms. Granted requests run for 200 ms.
func (z *zonePair) step(i, n int) {
	now := time.Duration(n) * 50 * time.Millisecond
	demand := &wire.Demand{Pool: z.pools[i], Seq: uint64(n), Stamp: wire.StampOf(now), Full: true, Seen: 1 << 60, Waiting: []wire.Waiting{{Account: "x", Count: 100}}}
	var sends []pool.Send
	take := func(s []pool.Send) { sends = append(sends, s...) }
	take(z.owners[i].Step(now, pool.Demand{From: "h", Msg: demand}))
	take(z.owners[i].Step(now, pool.Tick{}))
	if n%4 == 0 && len(z.running[i]) > 0 {
		done := &wire.Return{Pool: z.pools[i], Done: z.running[i]}
		z.running[i] = nil
		take(z.owners[i].Step(now, pool.Return{From: "h", Msg: done}))
	}
	for _, s := range sends {
		z.deliver(i, now, s.Msg)
	}
	z.maxRunning = max(z.maxRunning, len(z.running[0])+len(z.running[1]))
}

func (z *zonePair) deliver(i int, now time.Duration, msg any) {
	switch m := msg.(type) {
	case *wire.Grant:
		for _, l := range m.Leases {
			if !m.Lent && l.Account != "" {
				z.running[i] = append(z.running[i], wire.LeaseUse{ID: l.ID, Tokens: 50})
				z.granted[i]++
			}
		}
	case *wire.Share:
		if !z.disconnected {
			share := *m
			share.Waiting = nil
			z.owners[1-i].Step(now, pool.Share{From: "o", Msg: &share})
		}
	}
}

// TestFleetWideLimits guards against owners that together exceed an account's
// limit, or that block the account after they lose contact.
func TestFleetWideLimits(t *testing.T) {
	const steps = 400 // 20 s
	tests := map[string]struct {
		limit      pool.Limit
		disconnect bool
		// minGranted and maxGranted bound the requests granted in 20 s,
		// maxRunning the concurrent ones.
		minGranted, maxGranted, maxRunning int
	}{
		"requests":                {pool.Limit{Requests: 10}, false, 190, 225, 16},
		"tokens":                  {pool.Limit{Tokens: 500}, false, 180, 235, 16},
		"in flight":               {pool.Limit{InFlight: 4}, false, 200, 500, 6},
		"requests, disconnected":  {pool.Limit{Requests: 10}, true, 150, 240, 16},
		"in flight, disconnected": {pool.Limit{InFlight: 4}, true, 200, 500, 6},
		"high limit":              {pool.Limit{Requests: 1000}, false, 1000, 2000, 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			z := newZonePair(tc.limit)
			for n := 1; n <= steps; n++ {
				z.disconnected = tc.disconnect && n > steps/4
				z.step(0, n)
				z.step(1, n)
			}
			granted := z.granted[0] + z.granted[1]
			if granted < tc.minGranted || granted > tc.maxGranted || z.maxRunning > tc.maxRunning {
				t.Errorf("%d granted (want %d to %d), %d running (want at most %d)", granted, tc.minGranted, tc.maxGranted, z.maxRunning, tc.maxRunning)
			}
		})
	}
}
