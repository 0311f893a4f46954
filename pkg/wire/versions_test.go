package wire_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

func versionedUpdate() catalog.Update {
	row := func(name, version string) table.Backend { return table.Backend{Name: name, Version: version} }
	return catalog.Update{
		After: 4, AsOf: 9, Table: &table.Table{Backends: []table.Backend{row("own", "v3")}},
		Servers: []catalog.Server{
			{Revision: 5, Backend: row("a", "v1")}, {Revision: 6, Gone: true, Backend: row("b", "")},
			{Revision: 7, Backend: table.Backend{Name: "c", VersionUnknown: true}}, {Revision: 8, Backend: row("d", "v1.1")},
		},
		Retained: &catalog.Retained{Servers: []catalog.RetainedServer{{Server: catalog.Server{Revision: 2, Backend: row("e", "v0")}}}},
	}
}

// versionsOf returns the software of each row by name.
func versionsOf(u *catalog.Update) map[string]string {
	versions := map[string]string{"own": u.Table.Backends[0].Software().String()}
	for _, s := range u.Servers {
		versions[s.Backend.Name] = s.Backend.Software().String()
	}
	for _, s := range u.Retained.Servers {
		versions[s.Server.Backend.Name] = s.Server.Backend.Software().String()
	}
	return versions
}

// TestSoftwareVersionsFollowTheirUpdate: versions travel beside the update that they belong to. Without
// them, or with those of another update, they are unknown.
func TestSoftwareVersionsFollowTheirUpdate(t *testing.T) {
	sent := versionedUpdate()
	tests := map[string]struct {
		message func(m *wire.SoftwareVersions) *wire.SoftwareVersions
		want    map[string]string
	}{
		"with them":           {func(m *wire.SoftwareVersions) *wire.SoftwareVersions { return m }, map[string]string{"own": "v3", "a": "v1", "b": "", "c": "?", "d": "v1.1", "e": "v0"}},
		"without":             {func(*wire.SoftwareVersions) *wire.SoftwareVersions { return nil }, map[string]string{"own": "?", "a": "?", "b": "", "c": "?", "d": "?", "e": "?"}},
		"of another revision": {func(m *wire.SoftwareVersions) *wire.SoftwareVersions { m.AsOf++; return m }, map[string]string{"own": "?", "a": "?", "b": "", "c": "?", "d": "?", "e": "?"}},
		"of fewer rows":       {func(m *wire.SoftwareVersions) *wire.SoftwareVersions { m.Versions = m.Versions[1:]; return m }, map[string]string{"own": "?", "a": "?", "b": "", "c": "?", "d": "?", "e": "?"}},
		"a row out of bounds": {func(m *wire.SoftwareVersions) *wire.SoftwareVersions { m.Unknown = []int{-1, 99}; return m }, map[string]string{"own": "v3", "a": "v1", "b": "", "c": "", "d": "v1.1", "e": "v0"}},
		"a version is too big": {func(m *wire.SoftwareVersions) *wire.SoftwareVersions {
			m.Versions[1] = string(make([]byte, 4000))
			return m
		}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			enc := wire.NewEncoder(&buf)
			if m := tc.message(wire.NewSoftwareVersions(&sent)); m != nil {
				if err := enc.Append(m); err != nil {
					t.Fatal(err)
				}
			}
			if err := enc.Append(wire.NewPlatformUpdate(sent)); err != nil {
				t.Fatal(err)
			}
			msgs, err := wire.NewDecoder().Decode(buf.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			versions, _ := msgs[0].(*wire.SoftwareVersions)
			u := msgs[len(msgs)-1].(*wire.PlatformUpdate).Update
			versions.Restore(&u)
			if tc.want == nil {
				if got := u.Servers[0].Backend.Version; len(got) > table.MaxSoftwareVersion {
					t.Errorf("a version of %d bytes is kept", len(got))
				}
				return
			}
			if diff := cmp.Diff(tc.want, versionsOf(&u)); diff != "" {
				t.Errorf("versions (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUpdateKeepsItsEncoding: routers of earlier builds decode rows as arrays of a fixed length.
func TestUpdateKeepsItsEncoding(t *testing.T) {
	encode := func(b table.Backend) []byte {
		var buf bytes.Buffer
		if err := wire.NewEncoder(&buf).Append(wire.NewPlatformUpdate(catalog.Update{AsOf: 1, Servers: []catalog.Server{{Backend: b}}})); err != nil {
			t.Fatal(err)
		}
		return buf.Bytes()
	}
	if !bytes.Equal(encode(table.Backend{Name: "a"}), encode(table.Backend{Name: "a", Version: "v1", VersionUnknown: true})) {
		t.Error("the version changes the encoding of a row")
	}
}
