package wire_test

import (
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestOriginMessagesKeepTheirEncoding: routers of earlier builds decode messages as arrays of a fixed length, so that a
// further field of one that they know would end their connections.
func TestOriginMessagesKeepTheirEncoding(t *testing.T) {
	tests := map[string]struct {
		msg    any
		fields int
	}{
		"query": {&wire.OriginQuery{}, 3},
		"reply": {&wire.OriginReply{}, 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if n, _ := encodedFields(t, tc.msg); n != tc.fields {
				t.Errorf("%d fields, want %d", n, tc.fields)
			}
		})
	}
}
