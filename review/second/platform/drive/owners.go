package main

import (
	"context"
	"time"
)

// The figures of the sheet for the case of the owners, those of demands/tcd-windhoek-grown.
var ownersBounds = bounds{
	configApply: 3 * time.Second, pass: 200 * time.Millisecond, budgetWindow: 10 * time.Second, grace: 8 * time.Second,
	budgetRatio: 0.2, budgetExtra: 222,
}

const (
	coldPerS, coldOverage, coldSlack = 7.7, 1.5, 5.0
	coldStart                        = 3 * time.Second
	// entryLapse is three heartbeats.
	entryLapse = 3600 * time.Millisecond
	// seedLag is after what time the settings name seeds that live.
	seedLag = 3 * time.Second
)

// playOwners: all processes of a hall are killed at one moment. Three machines, which the settings of
// all name as seeds, are lost for good; the others come back at once, and with them a worker, which is cold.
func playOwners(p *play) (bool, error) {
	f, err := newFleet(p, ownersBounds, 6)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.Put("op/config", readConfig())
	first, err := f.addWorker("i-1", "", 0)
	if err != nil {
		return false, err
	}
	defer first.crash()
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	c := readers(p, newBalancer(ctx, f.routers))
	stop := c.start(ctx, 60)
	defer cancel()
	time.Sleep(5 * time.Second)
	others := f.routers[seedsMax:]
	p.record.say("the worker of the hall goes down")
	first.crash()
	if p.trouble {
		p.record.say("the processes of the hall are killed; three machines are lost for good")
		f.kill(f.routers)
	}
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		for _, r := range others {
			if err := f.start(r); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	second, err := f.addWorker("i-2", first.address(), coldStart)
	if err != nil {
		return false, err
	}
	defer second.crash()
	back := time.Now()
	p.record.say("the worker is back, and cold")
	time.Sleep(seedLag - 800*time.Millisecond)
	if p.trouble {
		// The platform's list of machines has no lost ones any more.
		f.seeds = nil
		for _, r := range others {
			f.seeds = append(f.seeds, r.peers)
		}
		for _, r := range others {
			if err := f.writeSettings(r); err != nil {
				return false, err
			}
		}
		p.record.say("the settings name the machines that are left as seeds")
	}
	time.Sleep(entryLapse - seedLag + 300*time.Millisecond)
	f.store.Deregister(first.id)
	time.Sleep(3 * time.Second)
	stop()
	return judgeCold(p, c, second, back, back.Add(coldStart)), nil
}

// judgeCold counts the requests that a cold worker took within any second.
func judgeCold(p *play, c *clients, w *worker, back, coldUntil time.Time) bool {
	var taken []time.Time
	for _, a := range w.arrivals() {
		if a.ran && !a.at.Before(back) && a.at.Before(coldUntil) {
			taken = append(taken, a.at)
		}
	}
	most, at, from := 0, time.Duration(0), 0
	for to := range taken {
		for taken[to].Sub(taken[from]) >= time.Second {
			from++
		}
		if n := to - from + 1; n > most {
			most, at = n, taken[from].Sub(back)
		}
	}
	bound := coldPerS*coldOverage + coldSlack
	p.record.verdictLine("cold worker: %d requests while it was cold, most within one second %d (%.1f s after its start), bound %.2f; answers %v", len(taken), most, at.Seconds(), bound, c.answers)
	return float64(most) <= bound
}
