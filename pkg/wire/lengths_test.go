package wire_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestStatedLengthsAreBounded guards against a frame of a few bytes that makes a router allocate what it states.
func TestStatedLengthsAreBounded(t *testing.T) {
	tests := map[string][]byte{
		"array of 3.7 thousand million crashes": {byte(wire.KindSuspectUpdate), 0x95, 0xdd, 0xdd, 0xdd, 0xdd, 0xdd},
		"array16":                               {byte(wire.KindSuspectUpdate), 0x95, 0xdc, 0xff, 0xff},
		"map":                                   {byte(wire.KindSuspectUpdate), 0xdf, 0xff, 0xff, 0xff, 0xff},
		"map16":                                 {byte(wire.KindSuspectUpdate), 0xde, 0xff, 0xff},
		"small map":                             {byte(wire.KindSuspectUpdate), 0x8f},
		"bytes":                                 {byte(wire.KindForwardData), 0x91, 0xc6, 0xff, 0xff, 0xff, 0xff},
		"string":                                {byte(wire.KindForwardData), 0x91, 0xdb, 0xff, 0xff, 0xff, 0xff},
		"extension":                             {byte(wire.KindForwardData), 0x91, 0xc9, 0xff, 0xff, 0xff, 0xff, 1},
		"array that is cut":                     {byte(wire.KindSuspectUpdate), 0x95, 0x90},
		"unknown kind, array":                   {200, 0xdd, 0xff, 0xff, 0xff, 0xff},
	}
	for name, payload := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := wire.NewDecoder().Decode(payload); !errors.Is(err, wire.ErrLength) {
				t.Errorf("Decode returned %v", err)
			}
		})
	}
}

// TestAllFormatsAreSkipped guards against a value of any format being taken for one that does not fit: a message of
// an unknown kind may hold any.
func TestAllFormatsAreSkipped(t *testing.T) {
	values := map[string]any{
		"nil": nil, "bool": true, "negative": int8(-5), "int8": int8(-100), "int16": int16(-1000), "int32": int32(-100000), "int64": int64(-1 << 40),
		"uint8": uint8(200), "uint16": uint16(1000), "uint32": uint32(1 << 20), "uint64": uint64(1 << 40), "float32": float32(1.5), "float64": 1.5,
		"short string": "x", "string": string(make([]byte, 200)), "long string": string(make([]byte, 70_000)),
		"bytes": make([]byte, 10), "many bytes": make([]byte, 70_000), "array": []int{1, 2, 3}, "long array": make([]int, 70_000),
		"map": map[string]int{"a": 1}, "long map": longMap(), "nested": [][]string{{"a"}, {"b", "c"}},
		"extension": msgpack.RawMessage{0xd4, 5, 1}, "extension of 16": append(msgpack.RawMessage{0xd8, 5}, make([]byte, 16)...), "extension with a length": msgpack.RawMessage{0xc7, 3, 5, 1, 2, 3},
	}
	for name, v := range values {
		t.Run(name, func(t *testing.T) {
			var buf bytes.Buffer
			enc := msgpack.NewEncoder(&buf)
			if err := enc.EncodeMulti(uint8(200), v); err != nil {
				t.Fatal(err)
			}
			want := &wire.Leaving{Servers: []wire.NameHash{1, 2}}
			if err := wire.NewEncoder(&buf).Append(want); err != nil {
				t.Fatal(err)
			}
			msgs, err := wire.NewDecoder().Decode(buf.Bytes())
			if err != nil || len(msgs) != 1 {
				t.Errorf("%d messages, %v", len(msgs), err)
			}
		})
	}
}

func longMap() map[int]int {
	m := map[int]int{}
	for i := range 1000 {
		m[i] = i
	}
	return m
}
