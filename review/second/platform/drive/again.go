package main

import (
	"context"
	"net/http"
	"time"
)

// playAgain: a worker that has just started, and is cold, turns cold again.
func playAgain(p *play) (bool, error) {
	f, err := newFleet(p, ownersBounds, 3)
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
	defer cancel()
	c := readers(p, newBalancer(ctx, f.routers))
	stop := c.start(ctx, 60)
	time.Sleep(2 * time.Second)
	first.crash()
	f.store.Deregister(first.id)
	time.Sleep(300 * time.Millisecond)
	second, err := f.addWorker("i-2", first.address(), coldStart)
	if err != nil {
		return false, err
	}
	defer second.crash()
	back, coldUntil := time.Now(), time.Now().Add(coldStart)
	p.record.say("the worker is back, and cold")
	if p.trouble {
		time.Sleep(450 * time.Millisecond)
		coldUntil = time.Now().Add(coldStart)
		f.store.Put("servers/"+second.id, second.entry("ready", coldStart))
		p.record.say("the worker turns cold again")
	}
	time.Sleep(time.Until(coldUntil) + time.Second)
	stop()
	return judgeCold(p, c, second, back, coldUntil), nil
}

// readConfig is the operators' configuration of one engine service whose workers start cold.
func readConfig() map[string]any {
	const service = "reader"
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-read", "hostname": host, "pathPrefix": "/read/", "routeKind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 600, "targetGapMs": 400,
			"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/health", "maxConns": 800, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerS,
			"engine": map[string]any{"slots": 48, "kvCapacityTokens": 565422},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 1000000},
		"tenants": []any{map[string]any{"name": "moka", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// addWorker starts an engine and writes its entry.
func (f *fleet) addWorker(id, address string, cold time.Duration) (*worker, error) {
	w := &worker{id: id, service: "reader", events: 5, pace: 10 * time.Millisecond, slots: 48}
	if err := startWorker(f.play, w, address); err != nil {
		return nil, err
	}
	f.store.Put("servers/"+w.id, w.entry("ready", cold))
	return w, nil
}

// readers are clients of the streaming route.
func readers(p *play, b *balancer) *clients {
	return &clients{play: p, balancer: b, method: http.MethodPost, path: "/read/", deadline: 5 * time.Second, headers: map[string]string{
		"Yarrowmast-Model": "m", "Yarrowmast-Token-Count": "300,30", "Yarrowmast-Prompt-Prefix": "5c1e07a2:200,91bd3f06:100",
	}}
}

// start runs the clients until the returned function is called, which waits for their last answers.
func (c *clients) start(ctx context.Context, rate float64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, rate)
	}()
	return func() {
		cancel()
		<-done
	}
}
