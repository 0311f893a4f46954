package table_test

import (
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestIncarnation checks that two rows yield the same incarnation string if and only if name and
// start time are equal.
func TestIncarnation(t *testing.T) {
	tests := map[string]struct {
		before, after table.Incarnation
		differ        bool
	}{
		"equal":                 {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "x", StartTime: 5}, false},
		"later start":           {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "x", StartTime: 6}, true},
		"clock set back":        {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "x", StartTime: 4}, true},
		"other name":            {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "y", StartTime: 5}, true},
		"start unknown":         {table.Incarnation{Name: "x"}, table.Incarnation{Name: "x"}, false},
		"start becomes known":   {table.Incarnation{Name: "x"}, table.Incarnation{Name: "x", StartTime: 6}, true},
		"name like another's":   {table.Incarnation{Name: "x", StartTime: 6}, table.Incarnation{Name: "x@6"}, true},
		"name with a start":     {table.Incarnation{Name: "x@6"}, table.Incarnation{Name: "x@6", StartTime: 7}, true},
		"start becomes unknown": {table.Incarnation{Name: "x", StartTime: 6}, table.Incarnation{Name: "x"}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			before, after := table.Backend{Name: tc.before.Name, StartTime: tc.before.StartTime}, table.Backend{Name: tc.after.Name, StartTime: tc.after.StartTime}
			if differ := after.Incarnation().String() != before.Incarnation().String(); differ != tc.differ {
				t.Errorf("%s and %s differ: %v", before.Incarnation(), after.Incarnation(), differ)
			}
		})
	}
}
