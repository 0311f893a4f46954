package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

// rounds has the figures of the site quizfleet-wdh, at the end of a release: two of three workers run v2.
func rounds() *deployment {
	return &deployment{
		bounds: stage.Bounds{
			ConfigApplyMs: 2000, PassMs: 120, BudgetExtra: 58, BudgetWindowS: 10, BudgetRatio: 0.2, GraceS: 8,
			Processors: 0.4, MemoryMB: 134, Descriptors: 4100, Region: "khomas", Zones: []string{"khomas-a", "khomas-b", "khomas-c"},
		},
		reader: &modelService{
			name: "quizmind", slots: 64, cacheTokens: 511815, route: "round-compose", targetMs: 800, gapMs: 300, timeoutMs: 15000, maxConns: 370,
			sharedTokens: 5382, ownTokens: 6610, attempts: 2, resumable: true, versions: []string{"v1", "v2", "v2"},
		},
	}
}

const (
	// streamEvents is the number of events of a stream, streamGap the time between them.
	streamEvents = 76
	streamGap    = 60 * time.Millisecond
	// streamsPerSecond is the number of streams that begin in a second.
	streamsPerSecond = 40
	// servesOn is how long a worker serves after its entry has been removed: drainMs and a little longer.
	servesOn = 3 * time.Second
	// killAfter is how long after that removal all routers are killed, downTime for how long.
	killAfter = time.Second
	downTime  = time.Second
	// takeUpPause is how long a client waits before it takes a broken stream up, takeUps how often it does.
	takeUpPause = 1500 * time.Millisecond
	takeUps     = 2
	// mixedAllowed is the number of streams that may hold events of two versions.
	mixedAllowed = 2
)

// playVersions replaces the last worker of a version, and kills all routers soon afterwards.
func playVersions(s *stage.Stage) (int, error) {
	f, err := rounds().start(s)
	if err != nil {
		return 0, err
	}
	for _, w := range f.readers {
		w.Events, w.Gap = streamEvents, streamGap
	}
	clients := stage.NewClients("91f9e864")
	streams := &streamRecord{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go f.beginStreams(ctx, clients, streams)
	time.Sleep(8 * time.Second)
	next, err := s.AddWorker("i-5c7c37ab", f.bounds.Zones[0], f.reader.name, "v2", f.reader.slots)
	if err != nil {
		return 0, err
	}
	next.Events, next.Gap = streamEvents, streamGap
	f.readers = append(f.readers, next)
	time.Sleep(time.Second)
	old := f.readers[0]
	old.Unlist()
	s.Note("the entry of worker %s is removed; it serves on for %v", old.ID, servesOn)
	time.Sleep(killAfter)
	if s.Trouble {
		if err := f.killAll(s); err != nil {
			return 0, err
		}
	}
	time.Sleep(servesOn - killAfter)
	old.Close()
	s.Note("worker %s has ended", old.ID)
	time.Sleep(2 * time.Second)
	stop()
	clients.Wait()
	return f.judgeOrder(s, clients, streams), nil
}

// killAll kills all routers at the same moment, and starts them again.
func (f *fleet) killAll(s *stage.Stage) error {
	var killed sync.WaitGroup
	for _, r := range f.routers {
		killed.Add(1)
		go func() {
			defer killed.Done()
			r.Kill()
		}()
	}
	killed.Wait()
	s.Note("all routers are killed")
	time.Sleep(downTime)
	for _, r := range f.routers {
		if err := r.Start(); err != nil {
			return err
		}
	}
	s.Note("all routers are started again")
	return nil
}

// streamRecord holds the tries of each stream.
type streamRecord struct {
	mu    sync.Mutex
	tries [][]stage.Answer
}

func (x *streamRecord) add(tries []stage.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tries = append(x.tries, tries)
}

// beginStreams begins streams at all routers in turn until ctx is done.
func (f *fleet) beginStreams(ctx context.Context, clients *stage.Clients, streams *streamRecord) {
	var addresses []string
	for _, r := range f.routers {
		addresses = append(addresses, r.Callers)
	}
	tick := time.NewTicker(time.Second / streamsPerSecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at := n % len(addresses)
		order := append(append([]string(nil), addresses[at:]...), addresses[:at]...)
		clients.Stream(order, f.reader.question(n), takeUpPause, takeUps, streams.add)
	}
}

// judgeOrder applies the rule ORDER on software versions.
func (f *fleet) judgeOrder(s *stage.Stage, clients *stage.Clients, streams *streamRecord) int {
	s.RecordTraffic(clients)
	mixed, takenUp, whole := 0, 0, 0
	for _, tries := range streams.tries {
		versions := map[string]bool{}
		text := ""
		for _, a := range tries {
			for _, w := range f.readers {
				if a.Events > 0 && w.Served(a.ID) > 0 {
					versions[w.Version] = true
					text += fmt.Sprintf("; %s: %d events to %s from %s (%s)", a.ID, a.Events, a.LastEvent, w.ID, w.Version)
				}
			}
		}
		if len(tries) > 1 {
			takenUp++
		}
		if len(versions) < 2 {
			continue
		}
		mixed++
		if last := tries[len(tries)-1]; last.Status == 200 && last.Err == "" {
			whole++
		}
		s.Note("a stream holds events of two versions%s", text)
	}
	s.Note("streams: %d, taken up: %d, with events of two versions: %d, of which whole for their callers: %d", len(streams.tries), takenUp, mixed, whole)
	if mixed > mixedAllowed {
		s.Note("ORDER is broken")
		fmt.Printf("ORDER is broken: %d streams hold events of two software versions, %d are allowed; %d of them end as whole; %d were taken up\n", mixed, mixedAllowed, whole, takenUp)
		return stage.Broken
	}
	s.Note("ORDER holds")
	fmt.Printf("ORDER holds: %d streams hold events of two software versions; %d were taken up\n", mixed, takenUp)
	return stage.Held
}
