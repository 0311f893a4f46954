package admit_test

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/suspect"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// crashSim crashes and restarts the backend servers of a world.
type crashSim struct {
	w *world
	// crashAfter is the time from the start of a crashing request to the crash, by digest.
	crashAfter map[suspect.Digest]time.Duration
	// partCrashAfter is the same for requests with a crashing part, by part.
	partCrashAfter map[suspect.Digest]time.Duration
	// eventFirst says that crashing requests get an event before the crash.
	eventFirst bool
	// restartAfter is the time from a crash to the restart.
	restartAfter time.Duration
	// singleTry says that routers do not retry crashing requests.
	singleTry bool
	// restartHiddenFor is how long the directory keeps showing the old incarnation after a
	// restart under the same name. If it is 0, the row is removed and the new incarnation's row
	// added.
	restartHiddenFor time.Duration
	// stallOnCrash says that connections stall on a crash instead of breaking.
	stallOnCrash bool
	// acceptsWhenDown says that connections to a server that is down are accepted, as by a proxy, and closed at once.
	acceptsWhenDown bool
	// unreachable counts the attempts at each backend server while it was down.
	unreachable map[string]int
	// cut holds the pairs of routers and backend servers without a connection.
	cut map[[2]string]bool
	// retryUnreachable says that routers retry requests that could not be sent.
	retryUnreachable bool
	// running are the requests at each backend server, disconnected those cut off by a crash.
	running      map[string][]uint64
	disconnected map[uint64]bool
	// down are the backend servers that have not restarted yet.
	down map[string]bool
	// crashed counts the crashes under a crashing request, sends its attempts.
	crashed, sends map[suspect.Digest]int
	// lateSends counts the attempts of crashing requests after the third crash.
	lateSends int
	// partCrashes are the times of crashes under each crashing part, partSends those at which requests with
	// it were sent.
	partCrashes, partSends map[suspect.Digest][]time.Duration
	// blocked counts the harmless requests refused for crashes, waited those refused because
	// another attempt ran.
	blocked, waited int
	// tries counts the attempts of a request.
	tries map[uint64]int
}

func withCrashes(w *world, after map[suspect.Digest]time.Duration) *crashSim {
	w.crashes = &crashSim{
		w: w, crashAfter: after, restartAfter: 3 * time.Second, running: map[string][]uint64{}, disconnected: map[uint64]bool{}, down: map[string]bool{},
		partCrashes: map[suspect.Digest][]time.Duration{}, partSends: map[suspect.Digest][]time.Duration{}, crashed: map[suspect.Digest]int{}, sends: map[suspect.Digest]int{}, tries: map[uint64]int{}, unreachable: map[string]int{},
	}
	return w.crashes
}

func (x *crashSim) isDisconnected(id uint64) bool { return x != nil && x.disconnected[id] }

// isCrashing reports whether a request crashes backend servers. Such requests never get a
// whole response.
func (x *crashSim) isCrashing(r admit.Request) bool {
	if x == nil {
		return false
	}
	_, crashing := x.crashAfter[r.Digest]
	return crashing || x.crashingPart(r) != 0
}

// crashingPart returns the part of a request that crashes backend servers, 0 if it has none.
func (x *crashSim) crashingPart(r admit.Request) suspect.Digest {
	for _, p := range r.Parts {
		if _, crashing := x.partCrashAfter[p]; crashing {
			return p
		}
	}
	return 0
}

// getsEvent reports whether a request gets its first event.
func (x *crashSim) getsEvent(id uint64, r admit.Request) bool {
	return !x.isDisconnected(id) && (!x.isCrashing(r) || x.eventFirst)
}

// onSent records a request at a backend server, and reports whether the server is up.
func (x *crashSim) onSent(id uint64, r admit.Request, server string) bool {
	if x == nil {
		return true
	}
	d := r.Digest
	if x.down[server] {
		x.unreachable[server]++
		return false
	}
	if x.cut[[2]string{x.w.requests[id].router, server}] {
		return false
	}
	x.running[server] = append(x.running[server], id)
	if part := x.crashingPart(r); part != 0 {
		x.partSends[part] = append(x.partSends[part], x.w.now)
		x.w.schedule(x.partCrashAfter[part], func() {
			if !x.disconnected[id] && slices.Contains(x.running[server], id) {
				x.partCrashes[part] = append(x.partCrashes[part], x.w.now)
				x.crash(server)
			}
		})
		return true
	}
	delay, crashing := x.crashAfter[d]
	if !crashing {
		return true
	}
	x.sends[d]++
	if x.crashed[d] >= suspect.MaxCrashes {
		x.lateSends++
	}
	x.w.schedule(delay, func() {
		if !x.disconnected[id] && slices.Contains(x.running[server], id) {
			x.crashed[d]++
			x.crash(server)
		}
	})
	return true
}

func (x *crashSim) onEnded(id uint64) {
	if x == nil {
		return
	}
	for server, ids := range x.running {
		x.running[server] = slices.DeleteFunc(ids, func(i uint64) bool { return i == id })
	}
}

func (x *crashSim) onRefused(a admit.Refuse) {
	if x == nil || a.Crashes == 0 || x.isCrashing(x.w.requests[a.ID].request) {
		return
	}
	if a.Err.Code == "on-trial" {
		x.waited++
		return
	}
	x.blocked++
}

// breakConnections disconnects all requests at a backend server without a crash.
func (x *crashSim) breakConnections(server string) {
	ids := x.running[server]
	x.running[server] = nil
	for _, id := range ids {
		x.disconnected[id] = true
		x.w.schedule(netLatency, func() { x.disconnect(id) })
	}
}

// crash crashes a backend server, which restarts later.
func (x *crashSim) crash(server string) {
	w := x.w
	if x.down[server] {
		return
	}
	x.down[server] = true
	ids := x.running[server]
	x.running[server] = nil
	for _, id := range ids {
		x.disconnected[id] = true
	}
	if x.restartHiddenFor > 0 {
		x.restartHidden(server)
	} else {
		x.restartAsNew(server)
	}
	for _, id := range ids {
		if x.stallOnCrash {
			w.schedule(stallTimeout, func() { x.stall(id) })
			continue
		}
		w.schedule(netLatency, func() { x.disconnect(id) })
	}
}

// stallTimeout is when a holder gives up a stalled request.
const stallTimeout = 800 * time.Millisecond

// stall reports to the holder that a request stalled.
func (x *crashSim) stall(id uint64) {
	a := x.w.requests[id]
	x.w.step(a.router, admit.AttemptEnd{ID: id, Result: admit.Stalled, Digest: a.request.Digest})
	x.retry(id)
}

// restartHidden restarts a backend server under its name. The directory shows the new
// incarnation later.
func (x *crashSim) restartHidden(server string) {
	w := x.w
	w.schedule(x.restartAfter, func() { x.down[server] = false })
	w.schedule(x.restartAfter+x.restartHiddenFor, func() {
		w.updateTable(func(t *table.Table) {
			for i := range t.Backends {
				if t.Backends[i].Name == server {
					t.Backends[i].StartTime = int64(w.now)
				}
			}
		})
	})
}

// restartAsNew removes the row of a backend server and adds that of its next incarnation later.
func (x *crashSim) restartAsNew(server string) {
	w := x.w
	w.schedule(min(time.Second, x.restartAfter/2), func() {
		w.updateTable(func(t *table.Table) {
			t.Backends = slices.DeleteFunc(t.Backends, func(b table.Backend) bool { return b.Name == server })
		})
	})
	row := table.Backend{}
	for _, b := range w.table.Backends {
		if b.Name == server {
			row = b
		}
	}
	w.schedule(x.restartAfter, func() {
		row.StartTime = int64(w.now)
		x.down[server] = false
		w.updateTable(func(t *table.Table) { t.Backends = append(t.Backends, row) })
	})
}

// disconnect reports to the holder that the connection of a request broke. Without framing that looks like the
// end of a response that has begun.
func (x *crashSim) disconnect(id uint64) {
	a := x.w.requests[id]
	if x.w.unframed && x.w.starts[id].first > 0 {
		x.w.step(a.router, admit.AttemptEnd{ID: id, Result: admit.Succeeded, Digest: a.request.Digest, Completed: true, Unframed: true})
		return
	}
	x.w.step(a.router, admit.AttemptEnd{ID: id, Result: admit.Broken, Digest: a.request.Digest, Disconnected: true})
	x.retry(id)
}

// retry lets the holder retry a failed request, or its caller send it again.
func (x *crashSim) retry(id uint64) {
	w := x.w
	a := w.requests[id]
	x.tries[id]++
	if w.down[a.router] || x.isCrashing(a.request) && (x.singleTry || x.tries[id] > 1) || x.tries[id] >= maxTries {
		return
	}
	if x.tries[id] > 1 {
		x.retryByCaller(id)
		return
	}
	r := a.request
	r.Retry, r.MayHaveRun, r.Resuming = true, true, w.starts[id].first > 0
	w.nextID++
	r.ID = w.nextID
	x.tries[r.ID] = x.tries[id]
	w.requests[r.ID] = arrival{router: a.router, request: r, at: w.now}
	w.step(a.router, admit.Arrive{Request: r})
}

// endUnsent reports to the holder that a request reached no backend server.
func (x *crashSim) endUnsent(router string, a admit.Start) {
	if x.acceptsWhenDown && x.down[a.Backend.Name] {
		x.disconnect(a.ID)
		return
	}
	x.w.step(router, admit.AttemptEnd{ID: a.ID, Result: admit.Unreachable})
	x.onUnreachable(a.ID, a.Backend.Name)
}

// onUnreachable lets the holder retry a request that could not be sent, at another backend server.
func (x *crashSim) onUnreachable(id uint64, server string) {
	if !x.retryUnreachable {
		return
	}
	w := x.w
	a := w.requests[id]
	r := a.request
	r.Retry, r.Avoid = true, append(slices.Clone(r.Avoid), server)
	w.nextID++
	r.ID = w.nextID
	x.tries[r.ID] = x.tries[id]
	w.requests[r.ID] = arrival{router: a.router, request: r, at: a.at}
	w.step(a.router, admit.Arrive{Request: r})
}

// maxTries bounds the attempts of a harmless request.
const maxTries = 4

// retryByCaller sends a request again, to a random router.
func (x *crashSim) retryByCaller(id uint64) {
	w := x.w
	w.schedule(200*time.Millisecond, func() {
		r := w.requests[id].request
		r.Retry, r.MayHaveRun, r.Resuming = false, false, false
		x.tries[w.nextID+1] = x.tries[id]
		w.submit(w.order[w.rng.IntN(len(w.order))], r)
	})
}

// sendSuspects sends the crash updates of a router to the others.
func (w *world) sendSuspects(name string) {
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
