package wire_test

import (
	"bytes"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestRestrictionsAreSent checks that the regions of rows reach another router, also those of a
// retained table, and that a table without any is sent in the message that all routers know.
func TestRestrictionsAreSent(t *testing.T) {
	restricted := func() *table.Table {
		return &table.Table{
			Routes:   []table.Route{{Name: "r", Regions: []string{"north"}}, {Name: "free"}},
			Accounts: []table.Account{{Name: "a", Regions: []string{"south", "north"}}},
		}
	}
	tests := map[string]struct {
		update      catalog.Update
		wantMessage any
	}{
		"table":          {catalog.Update{AsOf: 3, Table: restricted()}, &wire.RestrictedUpdate{}},
		"retained table": {catalog.Update{AsOf: 3, Retained: &catalog.Retained{Table: restricted()}}, &wire.RestrictedUpdate{}},
		"both":           {catalog.Update{AsOf: 3, Table: restricted(), Retained: &catalog.Retained{Table: restricted()}}, &wire.RestrictedUpdate{}},
		"none":           {catalog.Update{AsOf: 3, Table: &table.Table{Routes: []table.Route{{Name: "r"}}}}, &wire.PlatformUpdate{}},
		"no table":       {catalog.Update{After: 2, AsOf: 3}, &wire.PlatformUpdate{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			if err := wire.NewEncoder(&buf).Append(wire.NewPlatformUpdate(tc.update)); err != nil {
				t.Fatal(err)
			}
			msgs, err := wire.NewDecoder().Decode(buf.Bytes())
			if err != nil || len(msgs) != 1 {
				t.Fatalf("decoded %v, %v", msgs, err)
			}
			var got catalog.Update
			switch m := msgs[0].(type) {
			case *wire.PlatformUpdate:
				got = m.Update
			case *wire.RestrictedUpdate:
				got = m.Restore()
			}
			if isPlain(msgs[0]) != isPlain(tc.wantMessage) {
				t.Errorf("sent as %T", msgs[0])
			}
			checkRegions(t, "table", tc.update.Table, got.Table)
			if tc.update.Retained != nil {
				checkRegions(t, "retained table", tc.update.Retained.Table, got.Retained.Table)
			}
		})
	}
}

func isPlain(msg any) bool {
	_, ok := msg.(*wire.PlatformUpdate)
	return ok
}

func checkRegions(t *testing.T, what string, want, got *table.Table) {
	t.Helper()
	if want == nil {
		return
	}
	want.Index()
	got.Index()
	for _, route := range []string{"r", "free"} {
		for _, account := range []string{"a", ""} {
			if w, g := want.RegionsFor(route, account), got.RegionsFor(route, account); w != g {
				t.Errorf("%s: route %q, account %q: %s, want %s", what, route, account, g, w)
			}
		}
	}
}
