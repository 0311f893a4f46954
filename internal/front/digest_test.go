package front

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func newInbound(account, model, path, body string) *inboundRequest {
	return &inboundRequest{account: table.Account{Name: account}, model: model, path: path, body: []byte(body)}
}

// TestDigest checks which requests have the same digest.
func TestDigest(t *testing.T) {
	first := newInbound("moka", "reader", "/read/7", "page 1")
	tests := map[string]struct {
		other *inboundRequest
		same  bool
	}{
		"another attempt":               {&inboundRequest{id: "other", account: first.account, model: "reader", path: "/read/7", body: []byte("page 1")}, true},
		"another account":               {newInbound("ebene", "reader", "/read/7", "page 1"), false},
		"another service of its route":  {newInbound("moka", "desk", "/read/7", "page 1"), true},
		"another path":                  {newInbound("moka", "reader", "/read/8", "page 1"), false},
		"another body":                  {newInbound("moka", "reader", "/read/7", "page 2"), false},
		"another host":                  {&inboundRequest{account: first.account, model: "reader", host: "b.example", path: "/read/7", body: []byte("page 1")}, false},
		"another method":                {&inboundRequest{account: first.account, model: "reader", method: "PUT", path: "/read/7", body: []byte("page 1")}, false},
		"no body":                       {newInbound("moka", "reader", "/read/7", ""), false},
		"same bytes, split differently": {newInbound("moka/", "reader", "read/7", "page 1"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if same := first.digest() == tc.other.digest(); same != tc.same {
				t.Errorf("digests equal: %v", same)
			}
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, kb := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("%dkB", kb), func(b *testing.B) {
			in := newInbound("moka", "reader", "/read/7", string(bytes.Repeat([]byte("x"), kb<<10)))
			for b.Loop() {
				_ = in.computeDigest()
			}
		})
	}
}
