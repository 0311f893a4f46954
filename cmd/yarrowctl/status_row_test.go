package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/internal/router"
)

// TestStatusRows checks the columns for the status JSON of both schedulers, and that the JSON
// is printed unchanged.
func TestStatusRows(t *testing.T) {
	tests := map[string]struct {
		status any
		want   []string
	}{
		"pool scheduler": {
			router.Status{Name: "a", Zone: "x", Table: 7, Pools: []string{"p"}, Waiting: map[string]map[string]int{"m": {"moka": 2}}},
			[]string{"a", "x", "7", "1", "2", "0", "0", "0", "-", "-", "-", "-", "serving"}},
		"dispatch scheduler": {
			dispatch.Status{Name: "b", Zone: "y", Table: 9, Owned: []string{"i-1", "i-2"}, Waiting: 3, ClosedZones: []string{"y", "z"}},
			[]string{"b", "y", "9", "2", "3", "-", "-", "-", "y,z", "-", "-", "-", "serving"}},
		"unusable entries": {
			dispatch.Status{Name: "b", Zone: "y", Table: 9, UnusableCount: 2, Unusable: []dispatch.UnusableEntry{{Backend: "i-1", Reason: "wrong-type", Field: "slots"}, {Backend: "i-2", Reason: "unreadable"}}},
			[]string{"b", "y", "9", "0", "0", "-", "-", "-", "-", "2: i-1 wrong-type slots", "-", "-", "serving"}},
		"leaving and backing off servers, suspects": {
			dispatch.Status{Name: "b", Zone: "y", Table: 9, Leaving: []string{"i-1"}, BackingOff: map[string]int64{"i-2": 900, "i-3": 20}, SuspectCount: 12, Suspects: []dispatch.Suspect{{Digest: "0a", Crashes: 3}, {Digest: "0b", Crashes: 1}}},
			[]string{"b", "y", "9", "0", "0", "-", "-", "-", "-", "-", "1, 2", "12: 0a 3 ends", "serving"}},
		"suspended": {
			dispatch.Status{Name: "b", Zone: "y", Table: 9, SuspendedMillis: 6240},
			[]string{"b", "y", "9", "0", "0", "-", "-", "-", "-", "-", "-", "-", "serving, was suspended for 6.2s"}},
		"starting": {dispatch.Status{Name: "c", Zone: "y"}, []string{"c", "y", "0", "0", "0", "-", "-", "-", "-", "-", "-", "-", "starting"}},
		"stopping": {dispatch.Status{Name: "c", Zone: "y", Table: 1, Draining: true}, []string{"c", "y", "1", "0", "0", "-", "-", "-", "-", "-", "-", "-", "stopping"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := json.Marshal(tc.status)
			if err != nil {
				t.Fatal(err)
			}
			var row statusRow
			if err := json.Unmarshal(data, &row); err != nil {
				t.Fatal(err)
			}
			if got := row.columns(); got != strings.Join(tc.want, "\t") {
				t.Errorf("columns %q, want %q", got, tc.want)
			}
			if reencoded, err := json.Marshal(&row); err != nil || string(reencoded) != string(data) {
				t.Errorf("re-encoded as %s (%v), want %s", reencoded, err, data)
			}
		})
	}
	var row statusRow
	if err := json.Unmarshal([]byte(`{"reader_turn":"x"}`), &row); err == nil {
		t.Error("no error for an invalid status")
	}
}
