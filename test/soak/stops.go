package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// callersFirst is how long callers send before the first stop.
	callersFirst = 300 * time.Millisecond
	// exitTimeout is how long a router's process may take to exit after a stop signal.
	exitTimeout = drainFor + time.Second
)

// stopInSeries stops all routers and starts them again in series while callers send requests.
func (r *Run) stopInSeries(f *fleet, c *checker, t *traffic) {
	c.mu.Lock()
	c.stopsAt = time.Since(t.start)
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var callers, stops sync.WaitGroup
	t.startStopCallers(ctx, &callers)
	time.Sleep(callersFirst)
	for _, s := range drawStops(r.Seed, r.Routers) {
		if !s.Overlaps {
			stops.Wait()
		}
		time.Sleep(s.After)
		stops.Go(func() { r.stopOne(f, c, t, s) })
	}
	stops.Wait()
	if err := r.awaitServing(t, "stops"); err != nil {
		c.report(RuleRecovery, "-", err.Error())
	}
	cancel()
	callers.Wait()
}

// startStopCallers starts the callers of each router, which end when ctx is done.
func (t *traffic) startStopCallers(ctx context.Context, tasks *sync.WaitGroup) {
	for i, router := range t.fleet.routers {
		n := stopCallers
		if router.small {
			n = smallRouterCallers
		}
		for k := range n {
			name := fmt.Sprintf("stop-%x-%d-%d", t.seed, i, k)
			source := rand.New(rand.NewPCG(t.seed, stopStream<<32|uint64(i)<<16|uint64(k)))
			tasks.Go(func() { (&stopCaller{traffic: t, name: name, router: i, rng: source}).run(ctx) })
		}
	}
}

// stopOne stops a router, starts it again, and waits until it serves.
func (r *Run) stopOne(f *fleet, c *checker, t *traffic, s plannedStop) {
	router, signal := f.routers[s.Router], syscall.SIGTERM
	if r.Plant == RuleCutByStop {
		signal = syscall.SIGKILL
	}
	times := stopTimes{Router: s.Router, SignaledAt: time.Since(t.start)}
	r.Log("%6.1f s  planned stop of %s, overlapping: %v", times.SignaledAt.Seconds(), router.name, s.Overlaps)
	router.signal(signal)
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	if err := router.awaitExit(ctx); err != nil {
		c.report(RuleCutByStop, "-", fmt.Sprintf("%s still ran %s after its stop signal", router.name, exitTimeout))
		router.signal(syscall.SIGKILL)
		_ = router.awaitExit(context.Background())
	}
	times.ExitedAt = time.Since(t.start)
	c.addStop(times)
	time.Sleep(s.Down)
	if err := f.start(router); err != nil {
		c.report(RuleRecovery, "-", err.Error())
		return
	}
	t.awaitLookup(router)
}

// awaitLookup waits until a router has answered a request, or until readyTimeout has passed, which awaitServing
// reports.
func (t *traffic) awaitLookup(router *router) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n, limit := 0, time.Now().Add(readyTimeout); time.Now().Before(limit); n++ {
		res := response{ID: fmt.Sprintf("back-%s-%d", router.name, n), Kind: Lookup}
		if t.send(client, router.callersAddr, &res); res.Status == http.StatusOK {
			return
		}
		time.Sleep(redialInterval)
	}
}
