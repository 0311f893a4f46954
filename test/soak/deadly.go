package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// A request with this body ends the worker that runs it.
const deadlyBody = "page that ends the worker that reads it"

// deadlyKinds are the kinds that it is sent as: those that the fleet may repeat.
var deadlyKinds = []Kind{Read, Look}

const (
	// deadlyGap is the time between tries of its caller, backAfter when a worker that
	// ended starts again.
	deadlyGap = 150 * time.Millisecond
	backAfter = 500 * time.Millisecond
	// mostEnds is how many workers may end under one request.
	mostEnds = 3
)

// deadly has a caller try a deadly request at all routers in turn, and has workers that
// ended start again.
func (t *traffic) deadly(s Step) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	until, seen := time.Now().Add(s.For), int64(0)
	for n := 0; time.Now().Before(until); n++ {
		a := answer{ID: fmt.Sprintf("deadly-%x-%d", t.seed, n), Kind: deadlyKinds[s.Target], Body: deadlyBody}
		t.ask(client, t.fleet.routers[n%len(t.fleet.routers)].front.address(), &a)
		if ends := t.fleet.endsUnder.Load(); ends > seen {
			seen = ends
			time.Sleep(backAfter)
			t.fleet.restartEnded()
		}
		time.Sleep(deadlyGap)
	}
}

// restartEnded starts the workers again that ended under a deadly request, each under a new
// id, as those of the operators do.
func (f *fleet) restartEnded() {
	for i, w := range f.workers {
		if !w.Crashed() {
			continue
		}
		f.store.Deregister(w.ID)
		w.SetID(fmt.Sprintf("i-%d-%d", i, f.endsUnder.Load()))
		f.reborn(i)
	}
}

// checkDeadly looks that no more workers ended than the rule allows. A router that starts
// again, or wakes, may place a try before it hears what the others know.
func (j *judge) checkDeadly(ends int64, plan []Step) {
	most := int64(mostEnds)
	for _, s := range plan {
		if slices.Contains([]Fault{Kill, Stop, Pause, Suspend}, s.Fault) {
			most++
		}
	}
	if ends > most {
		j.breach(RuleDeadly, "-", fmt.Sprintf("%d workers ended under one request, %d may", ends, most))
	}
}
