package main

import (
	"context"
	"fmt"
	"time"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

// scans has the figures of the site ramdin-census.
func scans() *deployment {
	d := submissions()
	d.perRouter = 60
	d.desk = nil
	d.reader = &modelService{
		name: "form-reader", slots: 48, cacheTokens: 986267, route: "batch-reading", targetMs: 400, gapMs: 200, timeoutMs: 15000, maxConns: 300,
		sharedTokens: 5382, ownTokens: 6610,
	}
	return d
}

const (
	// maxBody is the largest body that the operators' limits allow (maxBodyBytes).
	maxBody = 4 << 20
	// uploadTime is how long a client takes to send it.
	uploadTime = 3 * time.Second
	// usualUsers is the number of users who send such bodies to one router, one after the other.
	usualUsers = 40
	// burst is how many times as many come at once, burstTime for how long.
	burst     = 1.7
	burstTime = 5 * time.Second
)

// playMemory lets many users with large bodies come to one router at once.
func playMemory(s *stage.Stage) (int, error) {
	f, err := scans().start(s)
	if err != nil {
		return 0, err
	}
	for _, w := range f.readers {
		w.FirstEvent = 200 * time.Millisecond
	}
	crowded := f.routers[0]
	clients, users := stage.NewClients("9c41d07b"), stage.NewClients("77a0c1e4")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	watch := &stage.MemoryWatch{}
	go watch.Run(ctx, crowded, f.bounds.MemoryMB)
	for _, r := range f.routers {
		go clients.Flood(ctx, r.Callers, f.perRouter, f.reader.question)
	}
	upload := func(n int) stage.Request {
		r := f.reader.question(n)
		r.BodyBytes, r.UploadTime = maxBody, uploadTime
		return r
	}
	for range usualUsers {
		go users.Repeat(ctx, crowded.Callers, upload)
	}
	time.Sleep(10 * time.Second)
	s.Note("%d users send bodies of %d bytes to %s; most memory up to now: %d MB of %d", usualUsers, maxBody, crowded.Name, watch.Most(), f.bounds.MemoryMB)
	burstCtx, endBurst := context.WithTimeout(ctx, burstTime)
	defer endBurst()
	if s.Trouble {
		more := int(usualUsers*burst) - usualUsers
		for range more {
			go users.Repeat(burstCtx, crowded.Callers, upload)
		}
		s.Note("%d more users come at once", more)
	}
	time.Sleep(burstTime + time.Second)
	stop()
	clients.Wait()
	users.Wait()
	return f.judgeLost(s, clients, users, crowded, watch), nil
}

// lostAllowed is the number of requests that may be handed on and not answered.
const lostAllowed = 3

// judgeLost applies the rule LOST to a router. One that was killed for its memory counts as having run.
func (f *fleet) judgeLost(s *stage.Stage, clients, users *stage.Clients, crowded *stage.Router, watch *stage.MemoryWatch) int {
	s.RecordTraffic(clients)
	s.RecordTraffic(users)
	arrived := map[string]bool{}
	for _, w := range f.readers {
		for _, x := range w.Arrivals() {
			arrived[x.ID] = true
		}
	}
	lost, cut := 0, 0
	for _, a := range append(clients.Answers(), users.Answers()...) {
		switch {
		case a.Router != crowded.Callers || a.Err == "" || !arrived[a.ID]:
		case a.Status != 0:
			cut++
		case a.Kept:
			lost++
			s.Note("request %s came on a kept connection, was handed on and got no answer: %s", a.ID, a.Err)
		}
	}
	for _, at := range watch.Killed() {
		s.NoteAt(at, "%s was over its memory and was killed", crowded.Name)
	}
	s.Note("most memory of %s: %d MB of %d; killed %d times", crowded.Name, watch.Most(), f.bounds.MemoryMB, len(watch.Killed()))
	s.Note("handed on and not answered: %d, answers cut: %d", lost, cut)
	if lost > lostAllowed {
		s.Note("LOST is broken")
		fmt.Printf("LOST is broken: %s used %d MB of %d and was killed %d times; %d requests were handed on and got no answer, %d are allowed; %d answers were cut\n", crowded.Name, watch.Most(), f.bounds.MemoryMB, len(watch.Killed()), lost, lostAllowed, cut)
		return stage.Broken
	}
	s.Note("LOST holds")
	fmt.Printf("LOST holds: %s used %d MB of %d and was killed %d times; %d requests were handed on and got no answer\n", crowded.Name, watch.Most(), f.bounds.MemoryMB, len(watch.Killed()), lost)
	return stage.Held
}
