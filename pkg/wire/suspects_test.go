package wire_test

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// encodedFields returns the number of fields with which a message is encoded, and a decoder of these fields.
func encodedFields(t *testing.T, msg any) (int, *msgpack.Decoder) {
	t.Helper()
	var buf bytes.Buffer
	if err := wire.NewEncoder(&buf).Append(msg); err != nil {
		t.Fatal(err)
	}
	dec := msgpack.NewDecoder(&buf)
	if _, err := dec.DecodeUint8(); err != nil {
		t.Fatal(err)
	}
	n, err := dec.DecodeArrayLen()
	if err != nil {
		t.Fatal(err)
	}
	return n, dec
}

// TestSuspectUpdateKeepsItsEncoding: routers of earlier builds decode messages as arrays of a fixed length, so that a
// further field of a crash would break their connections.
func TestSuspectUpdateKeepsItsEncoding(t *testing.T) {
	m := &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 1}}, Completed: []uint64{8}}
	lists, dec := encodedFields(t, m)
	if lists != 5 {
		t.Fatalf("%d fields of an update, want 5", lists)
	}
	if n, err := dec.DecodeArrayLen(); err != nil || n != 1 {
		t.Fatalf("%d crashes, %v", n, err)
	}
	if n, err := dec.DecodeArrayLen(); err != nil || n != 6 {
		t.Errorf("%d fields of a crash, %v, want 6", n, err)
	}
}
