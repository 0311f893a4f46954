package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// balancer tells clients which routers take connections: it asks each one every second, and takes
// out one that has missed twice.
type balancer struct {
	mu     sync.Mutex
	misses map[*router]int
	all    []*router
}

const missesToLeave = 2

func newBalancer(ctx context.Context, all []*router) *balancer {
	b := &balancer{misses: map[*router]int{}, all: all}
	for _, r := range all {
		go func() {
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			for {
				b.note(r, r.isReady())
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		}()
	}
	return b
}

func (b *balancer) note(r *router, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.misses[r] = 0
		return
	}
	b.misses[r]++
}

// pick returns a router for a new connection: one that is in, or any if fewer than half are in.
func (b *balancer) pick() *router {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*router
	for _, r := range b.all {
		if b.misses[r] < missesToLeave {
			in = append(in, r)
		}
	}
	if 2*len(in) < len(b.all) {
		in = b.all
	}
	return in[rand.IntN(len(in))]
}
