package wire_test

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

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
			var buf bytes.Buffer
			if err := wire.NewEncoder(&buf).Append(tc.msg); err != nil {
				t.Fatal(err)
			}
			dec := msgpack.NewDecoder(&buf)
			if _, err := dec.DecodeUint8(); err != nil {
				t.Fatal(err)
			}
			if n, err := dec.DecodeArrayLen(); err != nil || n != tc.fields {
				t.Errorf("%d fields, %v, want %d", n, err, tc.fields)
			}
		})
	}
}
