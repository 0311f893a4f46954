package wire_test

import (
	"bytes"
	"errors"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestNestingIsBounded guards against a frame of nested arrays that ends the process: the msgpack library skips
// values recursively, and a goroutine whose stack overflows cannot recover.
func TestNestingIsBounded(t *testing.T) {
	const frame = 4 << 20
	nested := func(prefix []byte, level ...byte) []byte {
		return append(prefix, bytes.Repeat(level, (frame-len(prefix))/len(level))...)
	}
	tests := map[string][]byte{
		"arrays in an unknown kind":      append(nested([]byte{200}, 0x91), 0xc0),
		"arrays of two":                  nested([]byte{200}, 0x92, 0xc0),
		"long arrays":                    nested([]byte{200}, 0xdc, 0, 1),
		"maps in an unknown kind":        nested([]byte{200}, 0x81, 0xc0),
		"maps as keys":                   nested([]byte{200}, 0x81),
		"an unknown field of a message":  append(nested([]byte{byte(wire.KindLeaving), 0x81, 0xa1, 'x'}, 0x91), 0xc0),
		"arrays in a field of a message": append(nested([]byte{byte(wire.KindLeaving), 0x91}, 0x91), 0xc0),
	}
	for name, payload := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := wire.NewDecoder().Decode(payload); !errors.Is(err, wire.ErrNesting) {
				t.Errorf("Decode returned %v", err)
			}
		})
	}
}

// TestDeepestMessageIsWithinNesting guards against a bound that refuses what routers send.
func TestDeepestMessageIsWithinNesting(t *testing.T) {
	operators := &table.Table{Routes: []table.Route{{Name: "r", Regions: []string{"north"}, Targets: []table.Target{{Service: "s", Weight: 1}}}}}
	var buf bytes.Buffer
	if err := wire.NewEncoder(&buf).Append(wire.NewPlatformUpdate(catalog.Update{AsOf: 1, Table: operators, Retained: &catalog.Retained{Table: operators}})); err != nil {
		t.Fatal(err)
	}
	msgs, err := wire.NewDecoder().Decode(buf.Bytes())
	if err != nil || len(msgs) != 1 {
		t.Errorf("%d messages, %v", len(msgs), err)
	}
}
