package pool_test

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/pool"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// zonePair is two owners of one model, each with 8 slots and endless work of
// one account that has limits; their shares may be cut.
type zonePair struct {
	owners  [2]*pool.Owner
	pools   [2]wire.Pool
	running [2][]wire.LeaseUse
	granted [2]int
	most    int
	cut     bool
}

func newZonePair(l pool.Limit) *zonePair {
	z := &zonePair{pools: [2]wire.Pool{wire.NewPool("m", "a", 0), wire.NewPool("m", "b", 0)}}
	for i := range z.owners {
		o := pool.New("o", z.pools[i], 0, pool.WithQuiet(0))
		o.Step(0, pool.Servers{List: []pool.Server{{Name: "s", Slots: 8, Open: true}}})
		o.Step(0, pool.Siblings{Nodes: map[wire.Pool]string{z.pools[1-i]: "o"}})
		o.Step(0, pool.Limits{Of: map[string]pool.Limit{"x": l}})
		z.owners[i] = o
	}
	return z
}

// step lets 50 ms pass at an owner; what it granted runs for 200 ms.
func (z *zonePair) step(i, n int) {
	now := time.Duration(n) * 50 * time.Millisecond
	d := &wire.Demand{Pool: z.pools[i], Seq: uint64(n), Stamp: wire.StampOf(now), Full: true, Seen: 1 << 60, Waiting: []wire.Waiting{{Account: "x", Count: 100}}}
	var sends []pool.Send
	take := func(s []pool.Send) { sends = append(sends, s...) }
	take(z.owners[i].Step(now, pool.Demand{From: "h", Msg: d}))
	take(z.owners[i].Step(now, pool.Tick{}))
	if n%4 == 0 && len(z.running[i]) > 0 {
		done := &wire.Return{Pool: z.pools[i], Done: z.running[i]}
		z.running[i] = nil
		take(z.owners[i].Step(now, pool.Return{From: "h", Msg: done}))
	}
	for _, s := range sends {
		z.deliver(i, now, s.Msg)
	}
	z.most = max(z.most, len(z.running[0])+len(z.running[1]))
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
		if !z.cut {
			share := *m
			share.Waiting = nil
			z.owners[1-i].Step(now, pool.Share{From: "o", Msg: &share})
		}
	}
}

func TestFleetWideLimits(t *testing.T) {
	const steps = 400 // 20 s
	tests := map[string]struct {
		limit pool.Limit
		cut   bool
		// least and most are requests granted in 20 s, atOnce those in flight.
		least, most, atOnce int
	}{
		"requests":          {pool.Limit{Requests: 10}, false, 190, 225, 16},
		"tokens":            {pool.Limit{Tokens: 500}, false, 180, 235, 16},
		"in flight":         {pool.Limit{InFlight: 4}, false, 200, 500, 6},
		"requests, cut":     {pool.Limit{Requests: 10}, true, 150, 240, 16},
		"in flight, cut":    {pool.Limit{InFlight: 4}, true, 200, 500, 6},
		"no limit to speak": {pool.Limit{Requests: 1000}, false, 1000, 2000, 16},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			z := newZonePair(tc.limit)
			for n := 1; n <= steps; n++ {
				z.cut = tc.cut && n > steps/4
				z.step(0, n)
				z.step(1, n)
			}
			all := z.granted[0] + z.granted[1]
			if all < tc.least || all > tc.most || z.most > tc.atOnce {
				t.Errorf("%d granted (want %d to %d), %d at once (want at most %d)", all, tc.least, tc.most, z.most, tc.atOnce)
			}
		})
	}
}
