package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// inTouchAfter is contactMs, after which routers that have started again are in touch.
	inTouchAfter = 3 * time.Second
	// leastTaken is from how many streams on that are taken up the rule applies, goOnPart the part of new streams that begin.
	leastTaken = 12
	goOnPart   = 0.5
)

// playVersions: workers of two versions serve when all router processes are killed. Clients take their streams up
// when the routers are in touch again.
func playVersions(p *play) (bool, error) {
	f, err := newFleet(p, joinedBounds, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.Put("op/config", composeConfig())
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		w, err := f.addComposer(fmt.Sprintf("i-%d", i+1), version)
		if err != nil {
			return false, err
		}
		defer w.crash()
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	list := beginStreams(p, f, "s", begun, 1500*time.Millisecond, p.trouble)
	time.Sleep(1500*time.Millisecond - time.Since(begun))
	if p.trouble {
		p.record.say("the processes of all routers are killed")
		f.kill(f.routers)
	}
	list.tries.Wait()
	time.Sleep(700 * time.Millisecond)
	if p.trouble {
		if err := f.startAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(inTouchAfter + 300*time.Millisecond)
	p.record.say("the routers are in touch; clients take their streams up, and others begin new ones")
	for i, s := range list.streams {
		if s.last > 0 {
			list.tries.Go(func() {
				s.try(p, f.routers[(i+1)%len(f.routers)], fmt.Sprintf("s%03d-2", i), begun.Add(streamDeadline), 0)
			})
		}
	}
	others := beginStreams(p, f, "n", time.Now(), 0, true)
	list.tries.Wait()
	others.tries.Wait()
	return judgeVersions(p, list.streams, others.streams), nil
}

// addComposer starts an engine of a version and writes its entry.
func (f *fleet) addComposer(id, version string) (*worker, error) {
	w := &worker{id: id, service: "composer", version: version, events: 180, pace: 60 * time.Millisecond, slots: 64}
	if err := startWorker(f.play, w, ""); err != nil {
		return nil, err
	}
	f.store.Put("servers/"+w.id, w.entry("ready", 0))
	return w, nil
}

// streamList is streams whose tries run.
type streamList struct {
	streams []*stream
	tries   sync.WaitGroup
}

// beginStreams begins streams at all routers. Unless stay is set, clients leave them after a time.
func beginStreams(p *play, f *fleet, name string, now time.Time, leave time.Duration, stay bool) *streamList {
	if stay {
		leave = 0
	}
	list := &streamList{}
	for i := range streams {
		s := &stream{versions: map[string]bool{}}
		list.streams = append(list.streams, s)
		list.tries.Go(func() {
			s.try(p, f.routers[i%len(f.routers)], fmt.Sprintf("%s%03d-1", name, i), now.Add(streamDeadline), leave)
		})
	}
	return list
}

// judgeVersions compares the share of streams that go on with that of new ones that begin.
func judgeVersions(p *play, taken, others []*stream) bool {
	up, on, began := 0, 0, 0
	tries := map[string]int{}
	for _, s := range taken {
		if len(s.tries) < 2 {
			continue
		}
		up++
		tries[s.tries[1]]++
		if s.last > s.before {
			on++
		}
	}
	for _, s := range others {
		if s.last > 0 {
			began++
		}
	}
	share, begins := float64(on)/float64(max(1, up)), float64(began)/float64(len(others))
	p.record.verdictLine("%d streams taken up, %d go on; of %d new streams %d begin; second tries %v", up, on, len(others), began, tries)
	return up < leastTaken || share >= goOnPart*begins
}
