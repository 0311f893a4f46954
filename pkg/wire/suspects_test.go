package wire_test

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestSuspectUpdateKeepsItsEncoding: routers of earlier builds decode messages as arrays of a fixed length, so that a
// further field of a crash would break their connections.
func TestSuspectUpdateKeepsItsEncoding(t *testing.T) {
	var buf bytes.Buffer
	m := &wire.SuspectUpdate{Crashes: []wire.SuspectCrash{{Digest: 7, Server: 1}}, Completed: []uint64{8}}
	if err := wire.NewEncoder(&buf).Append(m); err != nil {
		t.Fatal(err)
	}
	dec := msgpack.NewDecoder(&buf)
	if _, err := dec.DecodeUint8(); err != nil {
		t.Fatal(err)
	}
	lists, err := dec.DecodeArrayLen()
	if err != nil || lists != 5 {
		t.Fatalf("%d fields of an update, %v, want 5", lists, err)
	}
	if n, err := dec.DecodeArrayLen(); err != nil || n != 1 {
		t.Fatalf("%d crashes, %v", n, err)
	}
	if n, err := dec.DecodeArrayLen(); err != nil || n != 6 {
		t.Errorf("%d fields of a crash, %v, want 6", n, err)
	}
}
