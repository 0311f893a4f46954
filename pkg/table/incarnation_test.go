package table_test

import (
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestIncarnation looks that rows have the same name of a start just where they are of
// the same start.
func TestIncarnation(t *testing.T) {
	tests := map[string]struct {
		was, is table.Incarnation
		another bool
	}{
		"the same":           {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "x", StartTime: 5}, false},
		"later":              {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "x", StartTime: 6}, true},
		"clock set back":     {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "x", StartTime: 4}, true},
		"another name":       {table.Incarnation{Name: "x", StartTime: 5}, table.Incarnation{Name: "y", StartTime: 5}, true},
		"never said":         {table.Incarnation{Name: "x"}, table.Incarnation{Name: "x"}, false},
		"said for the first": {table.Incarnation{Name: "x"}, table.Incarnation{Name: "x", StartTime: 6}, true},
		"not said any more":  {table.Incarnation{Name: "x", StartTime: 6}, table.Incarnation{Name: "x"}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			was, is := table.Backend{Name: tc.was.Name, StartTime: tc.was.StartTime}, table.Backend{Name: tc.is.Name, StartTime: tc.is.StartTime}
			if another := is.Incarnation().String() != was.Incarnation().String(); another != tc.another {
				t.Errorf("%s and %s are other starts: %v", was.Incarnation(), is.Incarnation(), another)
			}
		})
	}
}
