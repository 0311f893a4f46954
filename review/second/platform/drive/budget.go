package main

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"
)

// The figures of the sheet for the case of the retry budget, those of sites/ramdin-census.
var budgetBounds = bounds{
	configApply: 2 * time.Second, pass: 120 * time.Millisecond, budgetWindow: 10 * time.Second, grace: 8 * time.Second,
	budgetRatio: 0.2, budgetExtra: 54,
}

const (
	// greyFor is for how long workers fail a share of their requests, greyShare that share.
	greyFor, greyShare = 4 * time.Second, 0.45
	budgetRate         = 150
)

// playBudget: workers fail a part of their requests, and again five seconds later. In between all router
// processes are killed, and start again.
func playBudget(p *play) (bool, error) {
	f, err := newFleet(p, budgetBounds, 6)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.Put("op/config", deskConfig())
	var workers []*worker
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		w := &worker{id: id, service: "desk", pace: 10 * time.Millisecond, slots: 12}
		if err := startWorker(p, w, ""); err != nil {
			return false, err
		}
		defer w.crash()
		f.store.Put("servers/"+w.id, w.entry("ready", 0))
		workers = append(workers, w)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &clients{play: p, balancer: newBalancer(ctx, f.routers), method: http.MethodGet, path: "/desk/", deadline: 3 * time.Second, safe: true}
	stop := c.start(ctx, budgetRate)
	time.Sleep(12 * time.Second)
	fail(p, workers, greyShare)
	time.Sleep(greyFor)
	fail(p, workers, 0)
	if p.trouble {
		p.record.say("the processes of all routers are killed")
		f.kill(f.routers)
		time.Sleep(500 * time.Millisecond)
		for _, r := range f.routers {
			if err := f.start(r); err != nil {
				return false, err
			}
		}
		time.Sleep(500 * time.Millisecond)
	} else {
		time.Sleep(time.Second)
	}
	fail(p, workers, greyShare)
	time.Sleep(greyFor)
	fail(p, workers, 0)
	time.Sleep(2 * time.Second)
	stop()
	return judgeBudget(p, c, workers), nil
}

// fail sets which share of their requests workers fail.
func fail(p *play, workers []*worker, share float64) {
	for _, w := range workers {
		w.setFailing(share)
	}
	p.record.say("workers fail %.2f of their requests", share)
}

// deskConfig is the operators' configuration of one plain service with a safe route.
func deskConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-desk", "hostname": host, "pathPrefix": "/desk/", "routeKind": "safe", "timeoutMs": 3000, "targetLatencyMs": 300,
			"priority": 1, "service": "desk", "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 800}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 1000000},
		"tenants":  []any{map[string]any{"name": "moka", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// judgeBudget compares, for every window, the arrivals beyond the first of each request with what is allowed.
func judgeBudget(p *play, c *clients, workers []*worker) bool {
	var all []arrival
	for _, w := range workers {
		all = append(all, w.arrivals()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range all {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	sent := c.sentTimes()
	slices.SortFunc(sent, time.Time.Compare)
	window, held := budgetBounds.budgetWindow, true
	worst, count, allowed, at := 0.0, 0, 0.0, time.Duration(0)
	for to, end := range repeats {
		begin := end.Add(-window)
		n := to + 1 - before(repeats, begin)
		requests := 0
		for _, back := range []time.Duration{0, window / 2, window} {
			requests = max(requests, before(sent, end.Add(-back))-before(sent, begin.Add(-back)))
		}
		bound := budgetBounds.budgetRatio*float64(requests) + float64(budgetBounds.budgetExtra)
		held = held && float64(n) <= bound
		if part := float64(n) / bound; part > worst {
			worst, count, allowed, at = part, n, bound, begin.Sub(p.record.start)
		}
	}
	p.record.verdictLine("repeats in the worst window of 10 s (from %.1f s on): %d, allowed %.1f; answers %v", at.Seconds(), count, allowed, c.answers)
	return held
}

// before returns how many of the times, in order, are before another one.
func before(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}
