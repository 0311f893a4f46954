package dispatch

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestTableStatus checks what operators see of the table in force and of refused ones.
func TestTableStatus(t *testing.T) {
	type seen struct {
		Table, Refused uint64
		Refusal        string
		AgeMillis      int64
	}
	valid := func(epoch, after, asOf uint64) catalog.Update {
		return catalog.Update{Epoch: epoch, After: after, AsOf: asOf, Table: &table.Table{Revision: asOf}}
	}
	skipped := func(epoch, after, asOf uint64, isTable bool) catalog.Update {
		return catalog.Update{Epoch: epoch, After: after, AsOf: asOf, Skipped: []catalog.Skipped{{Key: "config", Revision: asOf, Unusable: catalog.Unusable{Reason: catalog.BadValue, Field: "routes"}, Table: isTable}}}
	}
	const refusal = "config: bad-value routes"
	tests := map[string]struct {
		updates []catalog.Update
		want    seen
	}{
		"none":                   {nil, seen{}},
		"in force":               {[]catalog.Update{valid(1, 0, 4)}, seen{Table: 4, AgeMillis: 2000}},
		"replaced":               {[]catalog.Update{valid(1, 0, 4), valid(1, 4, 5)}, seen{Table: 5, AgeMillis: 1000}},
		"no other table":         {[]catalog.Update{valid(1, 0, 4), {Epoch: 1, After: 4, AsOf: 5}}, seen{Table: 4, AgeMillis: 2000}},
		"refused":                {[]catalog.Update{valid(1, 0, 4), skipped(1, 4, 5, true)}, seen{Table: 4, Refused: 5, Refusal: refusal, AgeMillis: 2000}},
		"refused at the start":   {[]catalog.Update{skipped(1, 0, 5, true)}, seen{Refused: 5, Refusal: refusal}},
		"another item":           {[]catalog.Update{valid(1, 0, 4), skipped(1, 4, 5, false)}, seen{Table: 4, AgeMillis: 2000}},
		"refused, then restored": {[]catalog.Update{skipped(1, 0, 5, true), valid(2, 0, 4)}, seen{Table: 4, AgeMillis: 1000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "x"}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.DiscardHandler))))
			for i := range 2 {
				if i < len(tc.updates) {
					updateEvent{Update: tc.updates[i]}.apply(s)
				}
				s.publishStatus()
				s.now += time.Second
			}
			s.publishStatus()
			st := s.d.Status()
			got := seen{st.Table, st.RefusedTable, st.Refusal, st.TableAgeMillis}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStatusHasLeavingBackends: a router must report the marks that it has in force, also of backend
// servers that it does not own.
func TestStatusHasLeavingBackends(t *testing.T) {
	s := newState(New(Identity{Name: "r", Address: "10.0.0.1:7", Zone: "x"}, emptySource{}, &recordingTransport{}, WithLogger(slog.New(slog.DiscardHandler))))
	row := func(name string, mark table.Mark) catalog.Server {
		return catalog.Server{Revision: 4, Backend: table.Backend{Name: name, Address: name, Zone: "y", Mark: mark, Models: []string{"reader"}, Slots: 1}}
	}
	updateEvent{Update: catalog.Update{Epoch: 1, AsOf: 4, Table: &table.Table{Revision: 1}, Servers: []catalog.Server{row("i-1", table.Leaving), row("i-2", table.Serving)}}}.apply(s)
	s.publishStatus()
	want := map[string]admit.BackendUse{"i-1": {Mark: table.Leaving}}
	if diff := cmp.Diff(want, s.d.Status().Backends); diff != "" {
		t.Errorf("backend servers (-want +got):\n%s", diff)
	}
}
