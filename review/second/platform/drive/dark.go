package main

import (
	"context"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// storeAway is for how long the store is silent.
const storeAway = 4500 * time.Millisecond

// playDark: a worker turns cold while the store is silent. Its health answers say so.
func playDark(p *play) (bool, error) {
	f, err := newFleet(p, ownersBounds, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.Put("op/config", readConfig())
	w, err := f.addWorker("i-1", "", 0)
	if err != nil {
		return false, err
	}
	defer w.crash()
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := readers(p, newBalancer(ctx, f.routers))
	stop := c.start(ctx, 40)
	time.Sleep(3 * time.Second)
	away := time.Now()
	if p.trouble {
		f.endpoint.SetMode(standin.Unresponsive, 0)
		p.record.say("the store is silent")
	}
	time.Sleep(500 * time.Millisecond)
	cold, coldUntil := time.Now(), time.Now().Add(coldStart)
	w.turnCold(coldUntil)
	p.record.say("the worker turns cold")
	if !p.trouble {
		f.store.Put("servers/"+w.id, w.entry("ready", coldStart))
	}
	time.Sleep(time.Until(away.Add(storeAway)))
	f.endpoint.SetMode(standin.Healthy, 0)
	p.record.say("the store answers; %d health checks reached the worker", w.healthChecks())
	time.Sleep(time.Second)
	stop()
	return judgeCold(p, c, w, cold, coldUntil), nil
}
