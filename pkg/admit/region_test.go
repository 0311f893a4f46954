package admit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// The zones x and y are in the region north, z is in south.
var regionOf = map[string]string{"x": "north", "y": "north", "z": "south"}

// newRegionWorld starts a fleet in two regions. Account "home" may use south only.
func newRegionWorld() *world {
	w := newWorld(1, 2, []string{"x", "y", "z"}, 3, admit.WithRegions(regionOf))
	w.updateTable(func(t *table.Table) {
		t.Accounts = []table.Account{{Name: "home", Regions: []string{"south"}}, {Name: "north", Regions: []string{"north"}}, {Name: "any"}}
		t.Routes = []table.Route{{Name: "southern", Regions: []string{"south"}}, {Name: "all"}}
	})
	return w
}

// serversOf returns the names of the backend servers in a zone.
func (w *world) serversOf(zone string) []string {
	var names []string
	for _, b := range w.table.Backends {
		if b.Zone == zone {
			names = append(names, b.Name)
		}
	}
	return names
}

// markZone marks the backend servers of a zone.
func (w *world) markZone(zone string, mark table.Mark) {
	w.updateTable(func(t *table.Table) {
		for i := range t.Backends {
			if t.Backends[i].Zone == zone {
				t.Backends[i].Mark = mark
			}
		}
	})
}

// submitAll submits requests at all routers for a second and returns their IDs.
func (w *world) submitAll(r admit.Request) []uint64 {
	if r.Prompt == 0 {
		r.Prompt, r.Output = 300, 20
	}
	var ids []uint64
	for range 20 {
		for _, router := range w.order {
			if !w.down[router] {
				ids = append(ids, w.submit(router, r))
			}
		}
		w.run(w.now + 50*time.Millisecond)
	}
	return ids
}

// startsByRegion counts the started requests among ids by region.
func (w *world) startsByRegion(ids []uint64) map[string]int {
	n := map[string]int{}
	for _, id := range ids {
		if s, ok := w.starts[id]; ok {
			n[regionOf[s.Backend.Zone]]++
		}
	}
	return n
}

// TestRequestsStayInTheirRegions: a request that the table restricts to some regions must not be
// sent to a backend server elsewhere, whatever is missing in its regions.
func TestRequestsStayInTheirRegions(t *testing.T) {
	restricted := admit.Request{Account: "home", Route: "all"}
	tests := map[string]struct {
		prepare func(w *world)
		request admit.Request
		// started says that most requests must start in the region nonetheless.
		started bool
	}{
		"account":                {request: restricted, started: true},
		"route":                  {request: admit.Request{Account: "any", Route: "southern"}, started: true},
		"row when it came":       {request: admit.Request{Account: "gone", Regions: table.NewRegionSet([]string{"south"})}, started: true},
		"both, nothing left":     {request: admit.Request{Account: "north", Route: "southern"}},
		"unknown region":         {request: admit.Request{Account: "any", Regions: table.NewRegionSet([]string{"west"})}},
		"with a shared prefix":   {request: admit.Request{Account: "home", Prefix: 7, Prompt: 4000, Shared: 3000, Output: 20}, started: true},
		"servers leaving":        {request: restricted, prepare: func(w *world) { w.markZone("z", table.Leaving) }},
		"zone closed":            {request: restricted, prepare: func(w *world) { w.closeZone("z") }},
		"after it may have run":  {request: admit.Request{Account: "home", Retry: true, MayHaveRun: true}, started: true},
		"failed at every server": {request: admit.Request{Account: "home", Retry: true, Avoid: []string{"z-s0", "z-s1", "z-s2"}}, started: true},
		"owners silent": {request: restricted, prepare: func(w *world) {
			for _, a := range w.order {
				for _, b := range w.order {
					w.blocked[[2]string{a, b}] = zoneOf(a) != zoneOf(b)
				}
			}
		}},
		"routers lost": {request: restricted, prepare: func(w *world) {
			w.kill("z-0", time.Millisecond)
			w.kill("z-1", time.Millisecond)
		}},
		"engines full": {request: restricted, prepare: func(w *world) {
			w.streamTime = time.Minute
			for range 60 {
				w.submit("z-0", admit.Request{Account: "home", Prompt: 10, Output: 20, MaxWait: time.Second})
			}
			w.run(w.now + 200*time.Millisecond)
		}},
		"servers resting": {request: restricted, prepare: func(w *world) {
			ids := w.submitAll(admit.Request{Account: "home"})
			for _, id := range ids {
				if s, ok := w.starts[id]; ok {
					w.step(s.router, admit.BackendNotice{ID: id, Backoff: time.Minute})
				}
			}
		}},
		"prefix known elsewhere only": {request: admit.Request{Account: "home", Prefix: 9, Prompt: 4000, Shared: 3000, Output: 20}, started: true, prepare: func(w *world) {
			w.submitAll(admit.Request{Account: "north", Prefix: 9, Prompt: 4000, Shared: 3000, Output: 20})
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newRegionWorld()
			w.run(2 * time.Second)
			if tc.prepare != nil {
				tc.prepare(w)
				w.run(w.now + 100*time.Millisecond)
			}
			ids := w.submitAll(tc.request)
			got := w.startsByRegion(ids)
			if got["north"] > 0 {
				t.Errorf("%d requests were sent to another region", got["north"])
			}
			if tc.started && got["south"] < len(ids)/2 {
				t.Errorf("%d of %d requests were started in the region", got["south"], len(ids))
			}
			for _, id := range ids {
				if from := w.starts[id].CopyPrefixFrom; from != "" && !slices.Contains(w.serversOf("z"), from) {
					t.Errorf("request %d copies its prefix from %s in another region", id, from)
				}
			}
		})
	}
}

// TestRefusedWithoutRegion: a request with no backend server in its regions must be refused at once,
// with a reason of its own and a time to come back.
func TestRefusedWithoutRegion(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *world)
		request admit.Request
		code    string
	}{
		"no region allowed":    {request: admit.Request{Account: "north", Route: "southern"}, code: "no-region"},
		"no server serves":     {request: admit.Request{Account: "home"}, prepare: func(w *world) { w.markZone("z", table.Leaving) }, code: "no-region"},
		"region's zone closed": {request: admit.Request{Account: "home"}, prepare: func(w *world) { w.closeZone("z") }, code: "zone-closed"},
		"no server anywhere": {request: admit.Request{Account: "any"}, code: "no-backend", prepare: func(w *world) {
			for zone := range regionOf {
				w.markZone(zone, table.Leaving)
			}
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newRegionWorld()
			w.run(2 * time.Second)
			if tc.prepare != nil {
				tc.prepare(w)
			}
			if refused, ok := w.refusal(tc.request); !ok || refused.Err.Code != tc.code || refused.Err.RetryAfter <= 0 {
				t.Errorf("got %+v, want a refusal %s with a retry delay", refused, tc.code)
			}
		})
	}
}

// TestRegionsChangeWhileRequestsWait: a table that brings, narrows or lifts a restriction applies to
// waiting requests, and a slot that was granted elsewhere is returned.
func TestRegionsChangeWhileRequestsWait(t *testing.T) {
	tests := map[string]struct {
		before, after []string
		// starts is the zone of the grant after which the request must start, "" for none.
		grant  string
		starts bool
	}{
		"brought":                {after: []string{"south"}, grant: "x"},
		"brought, grant allowed": {after: []string{"south"}, grant: "z", starts: true},
		"narrowed":               {before: []string{"north", "south"}, after: []string{"south"}, grant: "x"},
		"unchanged":              {before: []string{"north"}, after: []string{"north"}, grant: "x", starts: true},
		"lifted":                 {before: []string{"north"}, grant: "x", starts: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			view := func(regions []string) *table.Table {
				v := &table.Table{
					Revision: 1, Services: []table.ServiceRow{{Name: service, Engine: true}}, Accounts: []table.Account{{Name: "a", Regions: regions}},
					Backends: []table.Backend{{Name: tc.grant + "-s0", Zone: tc.grant, Models: []string{service}, Slots: 16, Mark: table.Serving}},
				}
				v.Index()
				return v
			}
			r := admit.Request{Account: "a", Regions: table.NewRegionSet(tc.before)}
			started := startsAfterGrant(t, r, tc.grant, view(tc.before), view(tc.after), admit.WithRegions(regionOf))
			if started != tc.starts {
				t.Errorf("started %v, want %v", started, tc.starts)
			}
		})
	}
}

// refusal lets a request arrive at router x-0, and returns its refusal if it is refused at once.
func (w *world) refusal(r admit.Request) (admit.Refuse, bool) {
	r.ID, r.Service, r.Deadline = 1000, service, w.now+10*time.Second
	actions := w.cores["x-0"].Step(w.now, admit.Arrive{Request: r})
	if len(actions) != 1 {
		return admit.Refuse{}, false
	}
	refused, ok := actions[0].(admit.Refuse)
	return refused, ok
}

// startsAfterGrant lets a request arrive at router y-0 under a table, replaces that, and then grants the slot
// that was requested from the owner in a zone. It reports whether the request starts.
func startsAfterGrant(t *testing.T, r admit.Request, zone string, before, after *table.Table, opts ...admit.Option) bool {
	t.Helper()
	const id = 1000
	owner, now := zone+"-0", time.Second
	r.ID, r.Service, r.Deadline = id, service, now+time.Second
	c := admit.New(admit.Router{Address: "y-0", Zone: "y"}, opts...)
	c.Step(now, admit.Routers{List: []admit.Router{{Address: owner, Zone: zone}}})
	c.Step(now, admit.TableUpdate{Table: before})
	actions := c.Step(now, admit.Arrive{Request: r})
	if len(actions) != 1 {
		t.Fatalf("%d actions, want a slot request", len(actions))
	}
	asked := actions[0].(admit.Send).Msg.(*wire.SlotRequest)
	actions = slices.Clone(c.Step(now, admit.TableUpdate{Table: after}))
	actions = append(actions, c.Step(now, admit.Message{From: owner, Msg: &wire.SlotReply{ID: id, Server: asked.Server, State: wire.SlotGranted}})...)
	return slices.ContainsFunc(actions, func(a admit.Action) bool { _, ok := a.(admit.Start); return ok })
}

// closeZone has operators close a zone.
func (w *world) closeZone(zone string) {
	w.updateTable(func(t *table.Table) { t.Zones = append(t.Zones, table.ZoneRow{Name: zone, Mark: table.ZoneClosed}) })
}
