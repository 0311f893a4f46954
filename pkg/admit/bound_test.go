package admit_test

import (
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const began, other = "v1", "v2"

// newVersionWorld starts a fleet in which the first server of each zone runs the version that began the
// streams, and the two others run another one.
func newVersionWorld() *world {
	w := newWorld(1, 2, []string{"x", "y", "z"}, 3)
	w.setVersions(func(name string) string {
		if strings.HasSuffix(name, "-s0") {
			return began
		}
		return other
	})
	return w
}

func (w *world) setVersions(versionOf func(name string) string) {
	w.updateTable(func(t *table.Table) {
		for i := range t.Backends {
			t.Backends[i].Version = versionOf(t.Backends[i].Name)
		}
	})
}

func (w *world) markVersion(version string, mark table.Mark) {
	w.updateTable(func(t *table.Table) {
		for i := range t.Backends {
			if t.Backends[i].Version == version {
				t.Backends[i].Mark = mark
			}
		}
	})
}

// TestStreamGoesOnAtItsVersionOnly: a request that is bound to a version must not be sent to a backend
// server of another one, whatever is missing at its own.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	bound := admit.Request{Account: "a", Software: &table.Software{Version: began}, Continues: true}
	with := func(change func(*admit.Request)) admit.Request {
		r := bound
		change(&r)
		return r
	}
	tests := map[string]struct {
		prepare func(w *world)
		request admit.Request
		// started says that most requests must start nonetheless.
		started bool
	}{
		"taken up by its caller":  {request: bound, started: true},
		"moved by its router":     {request: with(func(r *admit.Request) { r.Retry, r.MayHaveRun, r.Resuming = true, true, true }), started: true},
		"with a shared prefix":    {request: with(func(r *admit.Request) { r.Prefix, r.Prompt, r.Shared, r.Output = 7, 4000, 3000, 20 }), started: true},
		"failed at every server":  {request: with(func(r *admit.Request) { r.Avoid = []string{"x-s0", "y-s0", "z-s0"} }), started: true},
		"version is unknown":      {request: with(func(r *admit.Request) { r.Software = &table.Software{Unknown: true} })},
		"version is nowhere":      {request: with(func(r *admit.Request) { r.Software = &table.Software{Version: "v3"} })},
		"no version, but others":  {request: with(func(r *admit.Request) { r.Software = &table.Software{} })},
		"its servers are leaving": {request: bound, prepare: func(w *world) { w.markVersion(began, table.Leaving) }},
		"its zones are closed":    {request: bound, prepare: func(w *world) { w.closeZone("x"); w.closeZone("y"); w.closeZone("z") }},
		"replaced under its name": {request: bound, prepare: func(w *world) { w.setVersions(func(string) string { return other }) }},
		"owners silent": {request: bound, started: true, prepare: func(w *world) {
			for _, a := range w.order {
				for _, b := range w.order {
					w.blocked[[2]string{a, b}] = a != b
				}
			}
		}},
		"prefix known elsewhere only": {request: with(func(r *admit.Request) { r.Prefix, r.Prompt, r.Shared, r.Output = 9, 4000, 3000, 20 }), started: true, prepare: func(w *world) {
			w.submitAll(admit.Request{Account: "a", Software: &table.Software{Version: other}, Prefix: 9, Prompt: 4000, Shared: 3000, Output: 20})
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newVersionWorld()
			w.run(2 * time.Second)
			if tc.prepare != nil {
				tc.prepare(w)
				w.run(w.now + 100*time.Millisecond)
			}
			ids := w.submitAll(tc.request)
			starts := 0
			for _, id := range ids {
				s, ok := w.starts[id]
				if !ok {
					continue
				}
				starts++
				if s.Backend.Version != began {
					t.Fatalf("a request was sent to %s of version %q", s.Backend.Name, s.Backend.Version)
				}
				if from := s.CopyPrefixFrom; from != "" && !strings.HasSuffix(from, "-s0") {
					t.Errorf("request %d copies its prefix from %s of another version", id, from)
				}
			}
			if tc.started && starts < len(ids)/2 {
				t.Errorf("%d of %d requests were started", starts, len(ids))
			}
		})
	}
}

// TestRefusedWithoutVersion: a stream whose version no backend server runs any more cannot go on. It must
// be refused at once, also if its router moves it.
func TestRefusedWithoutVersion(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *world)
		request admit.Request
	}{
		"never listed":       {request: admit.Request{Software: &table.Software{Version: "v3"}}},
		"moved by a router":  {request: admit.Request{Software: &table.Software{Version: "v3"}, Retry: true, MayHaveRun: true, Resuming: true}},
		"its servers leave":  {request: admit.Request{Software: &table.Software{Version: began}}, prepare: func(w *world) { w.markVersion(began, table.Leaving) }},
		"version is unknown": {request: admit.Request{Software: &table.Software{Unknown: true}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newVersionWorld()
			w.run(2 * time.Second)
			if tc.prepare != nil {
				tc.prepare(w)
			}
			if refused, ok := w.refusal(tc.request); !ok || refused.Err.Code != "no-version" || refused.Err.RetryAfter <= 0 {
				t.Errorf("got %+v, want a refusal no-version with a retry delay", refused)
			}
		})
	}
}

// TestVersionChangesWhileStreamWaits: a slot that was granted at a backend server must not be used once its
// row states another version.
func TestVersionChangesWhileStreamWaits(t *testing.T) {
	for name, tc := range map[string]struct {
		after  string
		starts bool
	}{"unchanged": {began, true}, "replaced under its name": {other, false}} {
		t.Run(name, func(t *testing.T) {
			view := func(version string) *table.Table {
				v := &table.Table{
					Revision: 1, Services: []table.ServiceRow{{Name: service, Engine: true}},
					Backends: []table.Backend{{Name: "x-s0", Zone: "x", Models: []string{service}, Slots: 16, Mark: table.Serving, Version: version}},
				}
				v.Index()
				return v
			}
			r := admit.Request{Software: &table.Software{Version: began}}
			started := startsAfterGrant(t, r, "x", view(began), view(tc.after))
			if started != tc.starts {
				t.Errorf("started: %v, want %v", started, tc.starts)
			}
		})
	}
}

// TestCanContinue: a stream must not leave a silent backend server if no other one can go on with it.
func TestCanContinue(t *testing.T) {
	tests := map[string]struct {
		prepare  func(w *world)
		software table.Software
		leaves   string
		want     bool
	}{
		"two others":          {software: table.Software{Version: began}, leaves: "x-s0", want: true},
		"nothing to leave":    {software: table.Software{Version: began}, want: true},
		"the others leave":    {software: table.Software{Version: began}, leaves: "x-s0", prepare: func(w *world) { w.closeZone("y"); w.closeZone("z") }},
		"it is the only one":  {software: table.Software{Version: began}, prepare: func(w *world) { w.closeZone("y"); w.closeZone("z") }, want: true},
		"version is unknown":  {software: table.Software{Unknown: true}},
		"version is not here": {software: table.Software{Version: "v3"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newVersionWorld()
			w.run(2 * time.Second)
			if tc.prepare != nil {
				tc.prepare(w)
			}
			if got := w.cores["x-0"].CanContinue(service, table.RegionSet{}, tc.software, tc.leaves); got != tc.want {
				t.Errorf("may go on: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestStreamsGoOnUnderLoad: while the fleet is short of capacity, the streams that callers take up must be
// served as often as new ones, though few backend servers run their version. Two do, of nine.
func TestStreamsGoOnUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name             string
		begin, resume    float64
		minShareOfBegins float64
	}{
		{"few, no shortage", 60, 4, 0.9},
		{"few, short", 400, 4, 0.9},
		{"as many as two servers can do, short", 400, 20, 0.5},
		{"more than these two can do, short", 400, 120, 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newVersionWorld()
			w.setVersions(func(name string) string {
				if name == "x-s0" || name == "y-s0" {
					return began
				}
				return other
			})
			w.run(2 * time.Second)
			until := w.now + 8*time.Second
			prompt := admit.Request{Prompt: 2000, Output: 60, Target: 400 * time.Millisecond, MaxWait: 80 * time.Millisecond}
			bound := prompt
			bound.Software, bound.Continues = &table.Software{Version: began}, true
			w.addLoad("new", tc.begin, w.order, prompt, until)
			w.addLoad("resumed", tc.resume, w.order, bound, until)
			w.run(until + time.Second)
			share := func(continues bool) float64 {
				arrived, started := 0, 0
				for id, a := range w.requests {
					if a.request.Continues != continues {
						continue
					}
					arrived++
					if _, ok := w.starts[id]; ok {
						started++
					}
				}
				return float64(started) / float64(arrived)
			}
			goOn, begin := share(true), share(false)
			t.Logf("%.2f of the streams go on, %.2f of the new ones begin", goOn, begin)
			if goOn < tc.minShareOfBegins*begin {
				t.Errorf("%.2f of the streams go on, %.2f of the new ones begin", goOn, begin)
			}
		})
	}
}
