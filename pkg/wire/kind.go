package wire

import (
	"fmt"
	"reflect"
	"strings"
)

// KindCount is a bound above all kinds, for arrays that count by kind.
const KindCount = 64

// KindOf returns the kind of a message, 0 if it has none.
func KindOf(msg any) Kind {
	if m, ok := msg.(*Encoded); ok {
		return m.kind
	}
	kind, err := kindOf(msg)
	if err != nil {
		return 0
	}
	return kind
}

// String returns the name of the kind's message type.
func (k Kind) String() string {
	newMsg, ok := newMessage[k]
	if !ok {
		return fmt.Sprintf("kind-%d", uint8(k))
	}
	return strings.TrimPrefix(reflect.TypeOf(newMsg()).String(), "*wire.")
}
