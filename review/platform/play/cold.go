package main

import (
	"context"
	"fmt"
	"time"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

// census has the figures of the site ramdin-census-now-grown.
func census() *deployment {
	return &deployment{
		bounds: stage.Bounds{
			ConfigApplyMs: 3000, PassMs: 200, BudgetExtra: 164, BudgetWindowS: 10, BudgetRatio: 0.2, GraceS: 8,
			Processors: 0.8, MemoryMB: 536, Descriptors: 8192, Region: "mu-island", Zones: []string{"port-louis", "ebene", "curepipe"},
		},
		perRouter: 60,
		reader: &modelService{
			name: "form-reader", slots: 32, cacheTokens: 715203, route: "clerk-query", targetMs: 250, gapMs: 300, timeoutMs: 10000, maxConns: 560,
			sharedTokens: 198, ownTokens: 628, coldTime: 3 * time.Second, coldPerSecond: 18,
		},
	}
}

const (
	// storeAway is for how long the store is down.
	storeAway = 4500 * time.Millisecond
	// coldAfter is how long after that has begun the worker turns cold.
	coldAfter = 500 * time.Millisecond
	// coldNotice is how long after a worker has turned cold nothing is counted: time for it to be known.
	coldNotice = time.Second
	// fallsOver is the multiple of its rate at which a cold worker falls over.
	fallsOver = 3
)

// playCold lets a worker turn cold while the store is down.
func playCold(s *stage.Stage) (int, error) {
	f, err := census().start(s)
	if err != nil {
		return 0, err
	}
	clients := stage.NewClients("9c41d07b")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, r := range f.routers {
		go clients.Flood(ctx, r.Callers, f.perRouter, f.reader.question)
	}
	time.Sleep(10 * time.Second)
	if s.Trouble {
		s.Store.SetDown(true)
		s.Note("the store resets all connections")
	}
	time.Sleep(coldAfter)
	from := f.turnCold(s)
	time.Sleep(storeAway - coldAfter - f.reader.coldTime)
	if s.Trouble {
		s.Store.SetDown(false)
		s.Note("the store is back")
	}
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	return f.judgeCold(s, clients, from), nil
}

// turnCold lets the first worker turn cold and waits until it is warm again. It returns when it turned cold.
func (f *fleet) turnCold(s *stage.Stage) time.Time {
	cold := f.readers[0]
	cold.FallsOverAt = int(fallsOver * f.reader.coldPerSecond)
	from := time.Now()
	taken := cold.TurnCold(f.reader.coldTime)
	s.Note("worker %s turns cold for %v; its health answers say so; the store has taken its entry: %v", cold.ID, f.reader.coldTime, taken)
	time.Sleep(f.reader.coldTime)
	s.Note("worker %s is warm again, if it has not fallen over", cold.ID)
	return from
}

// judgeCold applies the rule FAILBACK to the first worker, which was cold from a time on.
func (f *fleet) judgeCold(s *stage.Stage, clients *stage.Clients, from time.Time) int {
	s.RecordTraffic(clients)
	cold, bound := f.readers[0], f.reader.coldBound()
	before, _ := stage.MostPerSecond(cold.Arrivals(), from.Add(-3*time.Second), from)
	most, at := stage.MostPerSecond(cold.Arrivals(), from.Add(coldNotice), from.Add(f.reader.coldTime))
	if end := cold.FellOver(); !end.IsZero() {
		s.NoteAt(end, "worker %s has fallen over", cold.ID)
	}
	cut := 0
	for _, a := range clients.Answers() {
		if a.Status == 200 && a.Err != "" {
			cut++
		}
	}
	s.Note("requests in a second at worker %s: %d at most in the three seconds before it turned cold; %d at most while it was cold, from the second on that begins at %.3f s; the rule allows %.2f", cold.ID, before, most, at.Sub(s.Start).Seconds(), bound)
	s.Note("streams that broke off: %d", cut)
	if float64(most) > bound {
		s.Note("FAILBACK is broken")
		fmt.Printf("FAILBACK is broken: %d requests in a second at the cold worker, %.2f are allowed; %d streams broke off\n", most, bound, cut)
		return stage.Broken
	}
	s.Note("FAILBACK holds")
	fmt.Printf("FAILBACK holds: %d requests in a second at the cold worker, %.2f are allowed\n", most, bound)
	return stage.Held
}
