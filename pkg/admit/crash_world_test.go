package admit_test

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// crashes has servers of a world end, with all that runs there, and start again as others.
type crashes struct {
	w *world
	// after is for how long a server runs a deadly request before it ends, by digest.
	after map[suspect.Digest]time.Duration
	// away is for how long an ended server is away.
	away time.Duration
	// once says that a request is tried once for each time that its caller comes.
	once bool
	// unseen is for how long the directory does not tell that an ended server has started
	// again under its name, 0 if it takes the row out and puts the new start's in.
	unseen time.Duration
	// silent says that a server which ends breaks nothing off: it only says nothing more.
	silent bool
	// running are the requests at each server, dead those that were cut off.
	running map[string][]uint64
	dead    map[uint64]bool
	// gone are the servers that have ended and not started again.
	gone map[string]bool
	// under counts the ends under a deadly request, sends how often it was sent.
	under, sends map[suspect.Digest]int
	// late counts the sends of deadly requests after three servers had ended under them.
	late int
	// barred counts refusals of harmless requests for ends of servers, waited those since
	// another try ran.
	barred, waited int
	// tries are how often a request was sent, by the request's first id.
	tries map[uint64]int
}

func withCrashes(w *world, after map[suspect.Digest]time.Duration) *crashes {
	w.crash = &crashes{
		w: w, after: after, away: 3 * time.Second, running: map[string][]uint64{}, dead: map[uint64]bool{}, gone: map[string]bool{},
		under: map[suspect.Digest]int{}, sends: map[suspect.Digest]int{}, tries: map[uint64]int{},
	}
	return w.crash
}

func (x *crashes) isDead(id uint64) bool { return x != nil && x.dead[id] }

// isDeadly reports whether a server ends under a request, which is never answered.
func (x *crashes) isDeadly(d suspect.Digest) bool {
	if x == nil {
		return false
	}
	_, deadly := x.after[d]
	return deadly
}

// sent has a server run a request, and reports whether it is there.
func (x *crashes) sent(id uint64, d suspect.Digest, server string) bool {
	if x == nil {
		return true
	}
	if x.gone[server] {
		return false
	}
	x.running[server] = append(x.running[server], id)
	delay, deadly := x.after[d]
	if !deadly {
		return true
	}
	x.sends[d]++
	if x.under[d] >= suspect.MaxCrashes {
		x.late++
	}
	x.w.at(delay, func() {
		if !x.dead[id] && slices.Contains(x.running[server], id) {
			x.under[d]++
			x.end(server)
		}
	})
	return true
}

func (x *crashes) ended(id uint64) {
	if x == nil {
		return
	}
	for server, ids := range x.running {
		x.running[server] = slices.DeleteFunc(ids, func(i uint64) bool { return i == id })
	}
}

func (x *crashes) refused(a admit.Refuse) {
	if x == nil || a.Crashes == 0 || x.isDeadly(x.w.asked[a.ID].request.Digest) {
		return
	}
	if a.Err.Code == "on-trial" {
		x.waited++
		return
	}
	x.barred++
}

// breakOff has a server break off what runs there, and go on.
func (x *crashes) breakOff(server string) {
	cut := x.running[server]
	x.running[server] = nil
	for _, id := range cut {
		x.dead[id] = true
		x.w.at(netTime, func() { x.cutOff(id) })
	}
}

// end ends a server; its row goes after a second and another start comes later.
func (x *crashes) end(server string) {
	w := x.w
	if x.gone[server] {
		return
	}
	x.gone[server] = true
	cut := x.running[server]
	x.running[server] = nil
	for _, id := range cut {
		x.dead[id] = true
	}
	if x.unseen > 0 {
		x.startUnseen(server)
	} else {
		x.startAsAnother(server)
	}
	for _, id := range cut {
		if x.silent {
			w.at(silentFor, func() { x.fellSilent(id) })
			continue
		}
		w.at(netTime, func() { x.cutOff(id) })
	}
}

// silentFor is how long a holder waits for a server that says nothing.
const silentFor = 800 * time.Millisecond

// fellSilent tells the holder of a request that nothing came for too long.
func (x *crashes) fellSilent(id uint64) {
	a := x.w.asked[id]
	x.w.step(a.router, admit.AttemptEnd{ID: id, Result: admit.Stalled, Digest: a.request.Digest})
	x.tryAgain(id)
}

// startUnseen has an ended server start again under its name, which its row tells later.
func (x *crashes) startUnseen(server string) {
	w := x.w
	w.at(x.away, func() { x.gone[server] = false })
	w.at(x.away+x.unseen, func() {
		w.change(func(t *table.Table) {
			for i := range t.Backends {
				if t.Backends[i].Name == server {
					t.Backends[i].StartTime = int64(w.now)
				}
			}
		})
	})
}

// startAsAnother has the row of an ended server go after a second, and that of its next start
// come later.
func (x *crashes) startAsAnother(server string) {
	w := x.w
	w.at(min(time.Second, x.away/2), func() {
		w.change(func(t *table.Table) {
			t.Backends = slices.DeleteFunc(t.Backends, func(b table.Backend) bool { return b.Name == server })
		})
	})
	row := table.Backend{}
	for _, b := range w.table.Backends {
		if b.Name == server {
			row = b
		}
	}
	w.at(x.away, func() {
		row.StartTime = int64(w.now)
		x.gone[server] = false
		w.change(func(t *table.Table) { t.Backends = append(t.Backends, row) })
	})
}

// cutOff tells the holder of a request that its server broke off.
func (x *crashes) cutOff(id uint64) {
	a := x.w.asked[id]
	x.w.step(a.router, admit.AttemptEnd{ID: id, Result: admit.Broken, Digest: a.request.Digest, Disconnected: true})
	x.tryAgain(id)
}

// tryAgain has the holder of a request that failed try it once more, or its caller come back.
func (x *crashes) tryAgain(id uint64) {
	w := x.w
	a := w.asked[id]
	x.tries[id]++
	if w.down[a.router] || x.isDeadly(a.request.Digest) && (x.once || x.tries[id] > 1) || x.tries[id] >= mostTries {
		return
	}
	if x.tries[id] > 1 {
		x.comesBack(id)
		return
	}
	again := a.request
	again.Retry, again.MayHaveRun, again.Resuming = true, true, w.starts[id].first > 0
	w.nextID++
	again.ID = w.nextID
	x.tries[again.ID] = x.tries[id]
	w.asked[again.ID] = askedOf{router: a.router, request: again, at: w.now}
	w.step(a.router, admit.Arrive{Request: again})
}

// mostTries is how often a harmless request is sent by the fleet and by its caller.
const mostTries = 4

// comesBack has the caller of a request that was cut off come back, to any router.
func (x *crashes) comesBack(id uint64) {
	w := x.w
	w.at(200*time.Millisecond, func() {
		r := w.asked[id].request
		r.Retry, r.MayHaveRun, r.Resuming = false, false, false
		x.tries[w.nextID+1] = x.tries[id]
		w.ask(w.order[w.rng.IntN(len(w.order))], r)
	})
}

// tellSuspects delivers what a router has to tell of ends.
func (w *world) tellSuspects(name string) {
	c := w.cores[name]
	if c == nil || !c.HasSuspectUpdates() {
		return
	}
	for _, m := range c.TakeSuspectUpdates(w.now, false) {
		for _, other := range w.order {
			if other != name {
				w.deliver(name, other, m)
			}
		}
	}
}
