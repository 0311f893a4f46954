package admit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// softwareTable returns a table of one service whose backend servers run the given versions by name.
func softwareTable(versions map[string]string) *table.Table {
	t := &table.Table{Services: []table.ServiceRow{{Name: "reader", Engine: true}}}
	t.Index()
	var d table.Directory
	for name, version := range versions {
		d = d.With(name, &table.Backend{Name: name, Zone: "z", Models: []string{"reader"}, Slots: 4, Mark: table.Serving, Version: version})
	}
	return t.WithDirectory(d)
}

// TestSoftwareChangeIsReported: on-call must see when a second version of a service comes or goes, whether
// the whole table is replaced or a row, and also where an entry keeps its name.
func TestSoftwareChangeIsReported(t *testing.T) {
	steps := []struct {
		name     string
		versions map[string]string
		partial  []string
		want     []SoftwareChanged
	}{
		{"start", map[string]string{"a": "v1", "b": "v1"}, nil, []SoftwareChanged{{"reader", table.Software{Version: "v1"}, 2, 1}}},
		{"nothing new", map[string]string{"a": "v1", "b": "v1"}, nil, nil},
		{"one more", map[string]string{"a": "v1", "b": "v1", "c": "v1"}, []string{"c"}, nil},
		{"second version", map[string]string{"a": "v1", "b": "v1", "c": "v2"}, []string{"c"}, []SoftwareChanged{{"reader", table.Software{Version: "v2"}, 1, 2}}},
		{"the first goes", map[string]string{"a": "v2", "b": "v2", "c": "v2"}, nil, []SoftwareChanged{{"reader", table.Software{Version: "v1"}, 0, 1}}},
		{"all go", map[string]string{}, []string{"a", "b", "c"}, []SoftwareChanged{{"reader", table.Software{Version: "v2"}, 0, 0}}},
	}
	c := New(Router{Address: "r", Zone: "z"})
	now := time.Second
	for _, step := range steps {
		now += time.Second
		var got []SoftwareChanged
		for _, a := range c.Step(now, TableUpdate{Table: softwareTable(step.versions), Partial: step.partial != nil, Changed: step.partial}) {
			if a, ok := a.(SoftwareChanged); ok {
				got = append(got, a)
			}
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
}
