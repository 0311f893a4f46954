package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

const (
	// deadlyPart is the part that ends each worker that begins to answer a request with it.
	deadlyPart = "dead07c1"
	// waveEvery is the time between two waves of requests with the part, waveSize their number in a wave.
	waveEvery = 5 * time.Second
	waveSize  = 6
	// wavesBefore is the number of waves before all routers are killed, wavesAfter that of those afterwards.
	wavesBefore, wavesAfter = 4, 3
	// killAfterWave is how long after a wave the routers are killed.
	killAfterWave = 500 * time.Millisecond
	// entryKept is how long the entry of a crashed worker stays, backAfter that after which a new one is there.
	entryKept = time.Second
	backAfter = 3 * time.Second
	// workersPerZone is the number of workers in a zone.
	workersPerZone = 3
	// contact is contactMs of the site. Later than that after the fifth crash, moreAllowed requests with the
	// part may reach workers.
	contact     = 3 * time.Second
	fifth       = 5
	moreAllowed = 3
)

// partRecord is what was seen of requests with the part.
type partRecord struct {
	mu               sync.Mutex
	arrived, crashed []time.Time
	workers          int
}

// playParts sends requests with a part that ends workers, and kills all routers after it is known.
func playParts(s *stage.Stage) (int, error) {
	d := rounds()
	d.reader.versions = nil
	f, err := d.start(s)
	if err != nil {
		return 0, err
	}
	seen := &partRecord{}
	for _, w := range f.readers {
		f.arm(s, w, seen)
	}
	for range workersPerZone - 1 {
		for _, zone := range f.bounds.Zones {
			if err := f.addArmed(s, zone, seen); err != nil {
				return 0, err
			}
		}
	}
	clients := stage.NewClients("c9bb690e")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, r := range f.routers {
		go clients.Flood(ctx, r.Callers, 10, f.reader.question)
	}
	time.Sleep(2 * time.Second)
	sent := 0
	var restarted time.Time
	for wave := range wavesBefore + wavesAfter {
		s.Note("wave %d of requests with the part", wave+1)
		began := time.Now()
		for range waveSize {
			clients.Send(f.routers[sent%len(f.routers)].Callers, f.deadly(sent))
			sent++
		}
		if s.Trouble && wave == wavesBefore-1 {
			time.Sleep(killAfterWave)
			if err := f.killAll(s); err != nil {
				return 0, err
			}
			restarted = time.Now()
		}
		time.Sleep(waveEvery - time.Since(began))
	}
	stop()
	clients.Wait()
	s.RecordTraffic(clients)
	return seen.judge(s, restarted), nil
}

// deadly returns a request with the part, and with parts that sound requests have.
func (f *fleet) deadly(n int) stage.Request {
	r := f.reader.question(n)
	r.Header["Yarrowmast-Prompt-Prefix"] = fmt.Sprintf("%x:%d,%s:600,%x:%d", 0x5c1e0000+n%prompts, f.reader.sharedTokens, deadlyPart, 0xa7300000+n, f.reader.ownTokens-600)
	return r
}

// arm lets a worker end under the part; another one comes in its place.
func (f *fleet) arm(s *stage.Stage, w *stage.Worker, seen *partRecord) {
	w.CrashOn = deadlyPart
	w.OnArrival = func(id string) {
		seen.mu.Lock()
		seen.arrived = append(seen.arrived, time.Now())
		seen.mu.Unlock()
		s.Note("request %s with the part reaches worker %s", id, w.ID)
	}
	w.OnCrash = func(id string) {
		seen.mu.Lock()
		seen.crashed = append(seen.crashed, time.Now())
		seen.mu.Unlock()
		s.Note("worker %s ends under request %s", w.ID, id)
		time.AfterFunc(entryKept, w.Unlist)
		time.AfterFunc(backAfter, func() { _ = f.addArmed(s, w.Zone, seen) })
	}
}

// addArmed starts a worker that ends under the part.
func (f *fleet) addArmed(s *stage.Stage, zone string, seen *partRecord) error {
	seen.mu.Lock()
	seen.workers++
	id := fmt.Sprintf("i-43dc%04x", seen.workers)
	seen.mu.Unlock()
	w, err := s.AddWorker(id, zone, f.reader.name, "v1", f.reader.slots)
	if err == nil {
		f.arm(s, w, seen)
	}
	return err
}

// judge counts the requests with the part that reached workers later than contact after the fifth crash, and
// were sent by routers that had run for that long.
func (r *partRecord) judge(s *stage.Stage, restarted time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashed) < fifth {
		fmt.Printf("only %d workers ended: nothing to judge\n", len(r.crashed))
		return stage.Held
	}
	more := 0
	for _, at := range r.arrived {
		outOfTouch := !restarted.IsZero() && at.After(restarted.Add(-downTime)) && at.Sub(restarted) < contact
		if at.Sub(r.crashed[fifth-1]) > contact && !outOfTouch {
			more++
		}
	}
	text := fmt.Sprintf("%d requests with the part reached workers, %d workers ended; %d reached them later than %v after the fifth crash from routers in touch (%d are allowed)", len(r.arrived), len(r.crashed), more, contact, moreAllowed)
	s.Note("%s", text)
	fmt.Println(text)
	if more > moreAllowed {
		return stage.Broken
	}
	return stage.Held
}
