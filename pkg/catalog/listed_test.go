package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// TestListedVersions: a version that was listed must not be missed, and a removed entry of an unknown version must be
// counted.
func TestListedVersions(t *testing.T) {
	wrote := func(revision uint64, name, version string) Server {
		return Server{Revision: revision, Backend: table.Backend{Name: name, Models: []string{"reader"}, Version: version}}
	}
	removed := func(revision uint64, name string) Server {
		return Server{Revision: revision, Gone: true, Backend: table.Backend{Name: name}}
	}
	unusable := func(revision uint64, name string) Server {
		return Server{Revision: revision, Unusable: Unusable{Reason: Unreadable}, Backend: table.Backend{Name: name}}
	}
	v1, v2 := ServiceVersion{"reader", "v1"}, ServiceVersion{"reader", "v2"}
	tests := map[string]struct {
		changes    []Server
		knownAfter uint64
		versions   []ServiceVersion
		unknown    int
	}{
		"none":                            {nil, 9, nil, 0},
		"written":                         {[]Server{wrote(3, "a", "v1"), wrote(4, "b", "v1")}, 9, []ServiceVersion{v1}, 0},
		"written and removed":             {[]Server{wrote(3, "a", "v1"), wrote(4, "b", "v2"), removed(5, "a")}, 9, []ServiceVersion{v1, v2}, 0},
		"only removed":                    {[]Server{wrote(4, "b", "v2"), removed(5, "a"), removed(6, "c")}, 9, []ServiceVersion{v2}, 2},
		"only removed, listed here":       {[]Server{removed(5, "a"), removed(10, "c")}, 9, nil, 1},
		"another version under its name":  {[]Server{wrote(3, "a", "v1"), wrote(4, "a", "v2")}, 9, []ServiceVersion{v1, v2}, 0},
		"unusable, then removed":          {[]Server{unusable(3, "a"), removed(4, "a")}, 9, nil, 1},
		"written, unusable, then removed": {[]Server{wrote(2, "a", "v1"), unusable(3, "a"), removed(4, "a")}, 9, []ServiceVersion{v1}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			versions, unknown := ListedVersions(tc.changes, tc.knownAfter)
			if diff := cmp.Diff(tc.versions, versions); diff != "" || unknown != tc.unknown {
				t.Errorf("%d unknown, want %d; versions (-want +got):\n%s", unknown, tc.unknown, diff)
			}
		})
	}
}
