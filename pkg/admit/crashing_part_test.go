package admit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

const (
	// deadlyPart and otherDeadlyPart crash backend servers. firstPart is in all sound requests.
	deadlyPart, otherDeadlyPart, firstPart suspect.Digest = 66, 67, 1
	// contact is the time that routers have to stop sending requests with a part after the fifth crash, and
	// maxLatePartSends the number that may be sent later.
	contact          = 3 * time.Second
	maxLatePartSends = 3
	partRunTime      = 20 * time.Second
	// partRequests is the interval of requests, of which each deadlyEvery-th is deadly.
	partRequests = 15 * time.Millisecond
	deadlyEvery  = 6
)

// partWorld sends sound and deadly requests to the routers of a world.
type partWorld struct {
	*world
	x *crashSim
	// soundParts and deadlyParts return the parts of a request.
	soundParts, deadlyParts func(w *partWorld) []suspect.Digest
	// deadlyFrom is when the first deadly request comes, deadlyInterval the time between two, 0 for one of
	// deadlyEvery.
	deadlyFrom, deadlyInterval time.Duration
	sound                      []uint64
}

func newPartWorld(seed uint64, zones []string) *partWorld {
	w := newWorld(seed, 4/len(zones), zones, 9/len(zones))
	p := &partWorld{world: w, x: withCrashes(w, nil), deadlyFrom: time.Second}
	p.x.partCrashAfter = map[suspect.Digest]time.Duration{deadlyPart: 150 * time.Millisecond}
	p.soundParts = func(w *partWorld) []suspect.Digest {
		return []suspect.Digest{firstPart, suspect.Digest(200 + w.rng.IntN(20))}
	}
	p.deadlyParts = func(*partWorld) []suspect.Digest { return []suspect.Digest{firstPart, deadlyPart} }
	return p
}

// addRequests sends requests until the end of the run.
func (p *partWorld) addRequests() {
	n := 0
	p.every(partRequests, func() {
		n++
		if p.deadlyInterval == 0 && n%deadlyEvery == 0 && p.now >= p.deadlyFrom {
			p.sendPart(p.deadlyParts(p))
			return
		}
		p.sound = append(p.sound, p.sendPart(p.soundParts(p)))
	})
	if p.deadlyInterval > 0 {
		p.schedule(p.deadlyFrom, func() { p.every(p.deadlyInterval, func() { p.sendPart(p.deadlyParts(p)) }) })
	}
	// Routers send each other all they know in turn.
	p.every(2*time.Second, func() {
		for i, name := range p.order {
			to := p.order[(i+1+p.rng.IntN(len(p.order)-1))%len(p.order)]
			for _, m := range p.cores[name].WorstSuspects(p.now) {
				p.deliver(name, to, m)
			}
		}
	})
}

// sendPart sends a request with the given parts and a body of its own.
func (p *partWorld) sendPart(parts []suspect.Digest) uint64 {
	return p.submit(p.order[p.rng.IntN(len(p.order))], admit.Request{
		Prompt: 900, Shared: 300, Output: 20, Prefix: 1 + uint64(parts[len(parts)-1]), Digest: suspect.Digest(1_000_000 + p.nextID), Parts: parts,
	})
}

// lateSends returns the number of requests with a part that were sent later than contact after its fifth crash.
func (p *partWorld) lateSends(part suspect.Digest) int {
	crashes := p.x.partCrashes[part]
	if len(crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range p.x.partSends[part] {
		if at > crashes[4]+contact {
			late++
		}
	}
	return late
}

// servedAfter returns the fraction of the sound requests that arrived after a time and got an event.
func (p *partWorld) servedAfter(from time.Duration) float64 {
	sent, served := 0, 0
	for _, id := range p.sound {
		if at := p.requests[id].at; at < from || at > partRunTime-2*time.Second {
			continue
		}
		sent++
		if p.starts[id].first > 0 {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// TestPartThatCrashesServersIsBlocked: a prompt part that crashes backend servers must be blocked at all routers,
// and requests that share all else must be served.
func TestPartThatCrashesServersIsBlocked(t *testing.T) {
	tests := map[string]struct {
		change func(p *partWorld)
		// zones are those of the fleet, one if not set.
		zones []string
		// maxLate bounds the late sends, if other than maxLatePartSends.
		maxLate int
		// lossy says that the fleet has other losses, so that less is served.
		lossy bool
	}{
		"second part": {change: func(*partWorld) {}},
		"first part": {change: func(p *partWorld) {
			p.deadlyParts = func(*partWorld) []suspect.Digest { return []suspect.Digest{deadlyPart, 205} }
		}},
		"alone": {change: func(p *partWorld) {
			p.deadlyParts = func(*partWorld) []suspect.Digest { return []suspect.Digest{deadlyPart} }
		}},
		"crashes after long prefills":          {change: func(p *partWorld) { p.x.partCrashAfter[deadlyPart] = 700 * time.Millisecond }},
		"crashes after an event":               {change: func(p *partWorld) { p.x.eventFirst = true }},
		"no request completed before":          {change: func(p *partWorld) { p.deadlyFrom = 0 }},
		"no request completed, all have it":    {change: func(p *partWorld) { p.deadlyFrom, p.streamTime = 0, 2*time.Second }},
		"a deadly request each two seconds":    {change: func(p *partWorld) { p.deadlyInterval = 2 * time.Second }},
		"responses end with connections":       {change: func(p *partWorld) { p.unframed, p.x.eventFirst = true, true }},
		"connections stall":                    {change: func(p *partWorld) { p.x.stallOnCrash = true }, lossy: true},
		"restarts that the directory conceals": {change: func(p *partWorld) { p.x.restartHiddenFor = 5 * time.Second }},
		"routers lose messages":                {change: func(p *partWorld) { p.loss = 0.1 }, lossy: true},
		"two deadly parts": {change: func(p *partWorld) {
			p.x.partCrashAfter[otherDeadlyPart] = 100 * time.Millisecond
			p.deadlyParts = func(p *partWorld) []suspect.Digest {
				return []suspect.Digest{firstPart, []suspect.Digest{deadlyPart, otherDeadlyPart}[p.rng.IntN(2)]}
			}
		}},
		"a router restarts each second": {change: func(p *partWorld) {
			n := 0
			p.every(time.Second, func() {
				n++
				p.restart(p.order[n%len(p.order)])
			})
		}, lossy: true},
		"all routers restart at once": {change: func(p *partWorld) { p.schedule(6*time.Second, func() { p.restartAll() }) }, maxLate: 12, lossy: true},
		"the zones are partitioned":   {change: func(p *partWorld) { p.cutZones() }, zones: []string{"a", "b"}, lossy: true},
		"a fifth of the servers crashes each two seconds": {change: func(p *partWorld) {
			p.every(2*time.Second, func() {
				for _, b := range p.table.Backends {
					if p.rng.Float64() < 0.2 {
						p.x.crash(b.Name)
					}
				}
			})
		}, lossy: true},
		"many parts that come once": {change: func(p *partWorld) {
			p.soundParts = func(p *partWorld) []suspect.Digest {
				parts := []suspect.Digest{firstPart}
				for range 15 {
					parts = append(parts, suspect.Digest(1000+p.rng.Uint64N(1<<40)))
				}
				return parts
			}
		}},
		"parts of sessions": {change: func(p *partWorld) {
			// Each session has a part of its own, and a deadly request in one of six.
			session := func(p *partWorld) suspect.Digest { return suspect.Digest(500 + p.rng.IntN(200)) }
			p.soundParts = func(p *partWorld) []suspect.Digest { return []suspect.Digest{firstPart, session(p)} }
			p.deadlyParts = func(p *partWorld) []suspect.Digest { return []suspect.Digest{firstPart, session(p), deadlyPart} }
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				zones := tc.zones
				if zones == nil {
					zones = []string{"a"}
				}
				p := newPartWorld(seed, zones)
				tc.change(p)
				p.addRequests()
				p.run(partRunTime)
				maxLate, minServed := max(maxLatePartSends, tc.maxLate), 0.95
				if tc.lossy {
					minServed = 0.5
				}
				for _, part := range []suspect.Digest{deadlyPart, otherDeadlyPart} {
					if late := p.lateSends(part); late > maxLate {
						t.Errorf("seed %d: %d late requests with part %d, %d allowed; crashes at %v", seed, late, part, maxLate, p.x.partCrashes[part])
					}
				}
				if served := p.servedAfter(p.deadlyFrom + 8*time.Second); served < minServed {
					t.Errorf("seed %d: %.2f of the sound requests got an event, want %.2f; crashes at %v", seed, served, minServed, p.x.partCrashes[deadlyPart])
				}
				if testing.Verbose() {
					t.Logf("%s, seed %d: %d crashes, %d late, served %.2f, %d blocked, %d waited", name, seed, len(p.x.partCrashes[deadlyPart])+len(p.x.partCrashes[otherDeadlyPart]), p.lateSends(deadlyPart), p.servedAfter(p.deadlyFrom+8*time.Second), p.x.blocked, p.x.waited)
				}
			}
		})
	}
}

// TestPartOfOtherAccountIsNotBlocked: an account that states a part in its crashing requests must not have the
// requests of another account with that part refused.
func TestPartOfOtherAccountIsNotBlocked(t *testing.T) {
	stated := suspect.PartDigest("attacker", "5c1e07a2")
	own := suspect.PartDigest("moka", "5c1e07a2")
	for seed := range uint64(5) {
		p := newPartWorld(seed, []string{"a"})
		p.x.partCrashAfter = map[suspect.Digest]time.Duration{stated: 100 * time.Millisecond}
		p.soundParts = func(*partWorld) []suspect.Digest { return []suspect.Digest{own, 205} }
		p.deadlyParts = func(*partWorld) []suspect.Digest { return []suspect.Digest{stated, 66} }
		p.addRequests()
		p.run(partRunTime)
		if n := len(p.x.partCrashes[stated]); n < 3 || n > 8 {
			t.Errorf("seed %d: %d crashes", seed, n)
		}
		if served := p.servedAfter(9 * time.Second); served < 0.95 || slices.Contains(p.blockedParts(), own) {
			t.Errorf("seed %d: %.2f of the other account's requests got an event", seed, served)
		}
	}
}

// blockedParts returns the parts for which a request sent now would be refused at the first router.
func (p *partWorld) blockedParts() []suspect.Digest {
	var blocked []suspect.Digest
	for _, c := range p.cores[p.order[0]].Suspects(1000) {
		if id := p.sendPart([]suspect.Digest{c.Digest, 1}); p.refusals[id] > 0 {
			blocked = append(blocked, c.Digest)
		}
	}
	return blocked
}

// TestPartStaysBlocked: a part that crashes backend servers must stay blocked over a long time in which requests
// with it keep coming, but for single trials.
func TestPartStaysBlocked(t *testing.T) {
	const end = 3 * time.Hour
	p := newPartWorld(1, []string{"a"})
	p.every(5*time.Second, func() { p.sendPart([]suspect.Digest{firstPart, deadlyPart}) })
	p.every(2*time.Second, func() { p.sound = append(p.sound, p.sendPart(p.soundParts(p))) })
	p.run(end)
	if late := p.lateSends(deadlyPart); late > maxLatePartSends {
		t.Errorf("%d late requests, %d allowed; sent at %v", late, maxLatePartSends, p.x.partSends[deadlyPart])
	}
	if p.x.blocked+p.x.waited > 0 {
		t.Errorf("%d sound requests were refused, %d had to wait", p.x.blocked, p.x.waited)
	}
}
