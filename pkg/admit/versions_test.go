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

// TestSoleSoftwareIsRemembered: a stream that nobody remembers may go on only if no other version can have
// begun it, also if that version has just gone.
func TestSoleSoftwareIsRemembered(t *testing.T) {
	v1, v2 := table.Software{Version: "v1"}, table.Software{Version: "v2"}
	tests := map[string]struct {
		tables []map[string]string
		// later is how long after the last table the question is asked.
		later time.Duration
		want  table.Software
		sole  bool
	}{
		"one version":           {[]map[string]string{{"a": "v1", "b": "v1"}}, time.Second, v1, true},
		"two":                   {[]map[string]string{{"a": "v1", "b": "v2"}}, time.Second, table.Software{}, false},
		"the first has gone":    {[]map[string]string{{"a": "v1"}, {"a": "v1", "b": "v2"}, {"b": "v2"}}, time.Second, table.Software{}, false},
		"it went long ago":      {[]map[string]string{{"a": "v1"}, {"b": "v2"}}, SoftwareTTL, v2, true},
		"replaced under its id": {[]map[string]string{{"a": "v1"}, {"a": "v2"}}, time.Second, table.Software{}, false},
		"no server":             {[]map[string]string{{}}, time.Second, table.Software{}, false},
		"all gone":              {[]map[string]string{{"a": "v1"}, {}}, time.Second, v1, true},
		"no version is stated":  {[]map[string]string{{"a": "", "b": ""}}, time.Second, table.Software{}, true},
		"one states no version": {[]map[string]string{{"a": "", "b": "v1"}}, time.Second, table.Software{}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := New(Router{Address: "r", Zone: "z"})
			now := time.Second
			for _, versions := range tc.tables {
				c.Step(now, TableUpdate{Table: softwareTable(versions)})
				now += time.Second
			}
			c.Step(now+tc.later, Tick{})
			if got, sole := c.SoleSoftware("reader"); sole != tc.sole || sole && got != tc.want {
				t.Errorf("software %+v, sole: %v; want %+v, %v", got, sole, tc.want, tc.sole)
			}
		})
	}
}
