package front

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func askOf(account, model, path, body string) *inboundRequest {
	return &inboundRequest{account: table.Account{Name: account}, model: model, path: path, body: []byte(body)}
}

// TestDigest compares what identifies requests.
func TestDigest(t *testing.T) {
	first := askOf("moka", "reader", "/read/7", "page 1")
	tests := map[string]struct {
		other *inboundRequest
		same  bool
	}{
		"another try of it":            {&inboundRequest{id: "other", account: first.account, model: "reader", path: "/read/7", body: []byte("page 1")}, true},
		"another account's":            {askOf("ebene", "reader", "/read/7", "page 1"), false},
		"another service of its route": {askOf("moka", "desk", "/read/7", "page 1"), true},
		"another path":                 {askOf("moka", "reader", "/read/8", "page 1"), false},
		"another body":                 {askOf("moka", "reader", "/read/7", "page 2"), false},
		"another host's":               {&inboundRequest{account: first.account, model: "reader", host: "b.example", path: "/read/7", body: []byte("page 1")}, false},
		"another method":               {&inboundRequest{account: first.account, model: "reader", method: "PUT", path: "/read/7", body: []byte("page 1")}, false},
		"no body":                      {askOf("moka", "reader", "/read/7", ""), false},
		"the same letters, elsewhere":  {askOf("moka/", "reader", "read/7", "page 1"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if same := first.digest() == tc.other.digest(); same != tc.same {
				t.Errorf("taken for the same: %v", same)
			}
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, kb := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("%dkB", kb), func(b *testing.B) {
			a := askOf("moka", "reader", "/read/7", string(bytes.Repeat([]byte("x"), kb<<10)))
			for b.Loop() {
				_ = a.computeDigest()
			}
		})
	}
}
