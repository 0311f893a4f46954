package front

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSharedParts guards against parts that are confused with each other, and against the last part,
// which is unique to the request, being taken for a shared one.
func TestSharedParts(t *testing.T) {
	many := strings.Repeat("a:1,", 3)
	for i := range 2 * maxParts {
		many += fmt.Sprintf("p%d:1,", i)
	}
	tests := map[string]struct {
		text string
		ids  []string
	}{
		"no header":   {"", nil},
		"one part":    {"5c1e07a2:800", nil},
		"three parts": {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", []string{"5c1e07a2", "91bd3f06"}},
		"spaces":      {" 5c1e07a2:800 , 91bd3f06:410,e4402b7d:250", []string{"5c1e07a2", "91bd3f06"}},
		"repeated":    {"a:1,b:2,a:1,c:3", []string{"a", "b"}},
		"no ID":       {":1,b:2,c:3", []string{"b"}},
		"too many":    {many + "last:1", []string{"a", "p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9", "p10", "p11", "p12", "p13", "p14"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var ids []string
			for _, p := range sharedParts("moka", tc.text) {
				ids = append(ids, p.ID)
			}
			if diff := cmp.Diff(tc.ids, ids); diff != "" {
				t.Errorf("parts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPartsOfAccountsDiffer guards against one account's crashes being held against another one's
// requests.
func TestPartsOfAccountsDiffer(t *testing.T) {
	const text = "5c1e07a2:800,e4402b7d:250"
	a, again, b := sharedParts("moka", text), sharedParts("moka", text), sharedParts("ebene", text)
	if a[0].Digest != again[0].Digest || a[0].Digest == b[0].Digest {
		t.Errorf("digests %v, %v and %v", a[0].Digest, again[0].Digest, b[0].Digest)
	}
}
