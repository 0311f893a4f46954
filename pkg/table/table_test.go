package table_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const sampleFormat = `accounts:
  - name: moka
    weight: 2
    key_sha256: "%064d"
backends:
  - name: form-1
    zone: ebene
    address: 10.0.0.7:8000
    models: [form-reader]
    slots: 8
`

func sample() string { return fmt.Sprintf(sampleFormat, 1) }

func TestParseSetsDefaults(t *testing.T) {
	got, err := table.Parse("t.yaml", []byte(sample()))
	if err != nil {
		t.Fatal(err)
	}
	a, _ := got.Account("moka")
	b, _ := got.Backend("form-1")
	if a.Limits.Queued != table.DefaultQueued || b.Mark != table.Serving || b.Kind != table.Engine {
		t.Errorf("defaults: %+v %+v", a, b)
	}
}

func TestParseReportsLines(t *testing.T) {
	tests := map[string]struct {
		from, to string
		want     []string
	}{
		"unknown field":       {"weight: 2", "wieght: 2", []string{"t.yaml:3:", "wieght"}},
		"negative weight":     {"weight: 2", "weight: -1", []string{"t.yaml:3: accounts[0].weight"}},
		"weight not a number": {"weight: 2", "weight: .nan", []string{"t.yaml:3: accounts[0].weight"}},
		"key too short":       {"key_sha256: \"", "key_sha256: \"zz", []string{"t.yaml:4: accounts[0].key_sha256"}},
		"host name":           {"10.0.0.7:8000", "form-1.example:8000", []string{"t.yaml:8: backends[0].address"}},
		"no slots":            {"slots: 8", "slots: 0", []string{"t.yaml:10: backends[0].slots"}},
		"unknown mark":        {"slots: 8", "slots: 8\n    mark: gone", []string{"t.yaml:11: backends[0].mark"}},
		"no rows":             {"accounts:", "accounts: []\nx:", []string{"no rows", "unknown"}},
		"two problems":        {"weight: 2\n    key_sha256: \"", "weight: 0\n    key_sha256: \"q", []string{"accounts[0].weight", "accounts[0].key_sha256"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := table.Parse("t.yaml", []byte(strings.Replace(sample(), tc.from, tc.to, 1)))
			var problems *strictyaml.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error %v", err)
			}
			if name == "no rows" {
				return
			}
			for _, want := range tc.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q does not contain %q", err, want)
				}
			}
		})
	}
}

func TestDuplicateAccountIsRejected(t *testing.T) {
	text := strings.Replace(sample(), "backends:", "  - {name: moka, weight: 1, key_sha256: \""+strings.Repeat("a", 64)+"\"}\nbackends:", 1)
	if _, err := table.Parse("t.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), "twice") {
		t.Errorf("error %v", err)
	}
}

// TestApplyDiff checks that a delta yields the sender's table, and that a delta from another
// revision is rejected.
func TestApplyDiff(t *testing.T) {
	from, err := table.Parse("t.yaml", []byte(sample()))
	if err != nil {
		t.Fatal(err)
	}
	from.Revision = 4
	changed := strings.Replace(sample(), "weight: 2", "weight: 3", 1)
	changed = strings.Replace(changed, "backends:", "  - {name: savanne, weight: 1, key_sha256: \""+strings.Repeat("b", 64)+"\"}\nbackends:", 1)
	to, err := table.Parse("t.yaml", []byte(changed))
	if err != nil {
		t.Fatal(err)
	}
	to.Revision = 5
	got, err := from.Apply(table.Diff(from, to))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(to.Accounts, got.Accounts); diff != "" || got.Digest() != to.Digest() {
		t.Errorf("table (-want +got):\n%s", diff)
	}
	if _, err := to.Apply(table.Diff(from, to)); err == nil {
		t.Error("a delta from another revision was applied")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample()))
	f.Add([]byte("accounts: [{name: a, weight: 1e300}]"))
	f.Add([]byte("- x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := table.Parse("fuzz", data)
		if err != nil {
			return
		}
		for _, a := range got.Accounts {
			if !(a.Weight > 0) || a.Name == "" {
				t.Errorf("an invalid row was accepted: %+v", a)
			}
		}
	})
}
