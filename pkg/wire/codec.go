package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// Kind numbers a message type. Numbers are never used again for another type.
type Kind uint8

// The message types. The fields of a type never change, since the library
// refuses an array of another length: a change is a new type. A type added
// later must not intern strings, because a router that does not know it passes
// over it, and would then number the strings otherwise than the sender.
const (
	KindHello      Kind = 1
	KindDemand     Kind = 2
	KindGrant      Kind = 3
	KindReturn     Kind = 4
	KindReport     Kind = 5
	KindRenew      Kind = 6
	KindRecall     Kind = 7
	KindShare      Kind = 8
	KindNotOwner   Kind = 9
	KindProbe      Kind = 10
	KindAck        Kind = 11
	KindTableAsk   Kind = 12
	KindTableWhole Kind = 13
	KindTableDelta Kind = 14
	KindClaim      Kind = 15
	KindAnswer     Kind = 16
	KindVoid       Kind = 17
	KindState      Kind = 18
	KindRoster     Kind = 19
	KindNewsAsk    Kind = 20
	KindNews       Kind = 21
	KindAsk        Kind = 22
	KindReply      Kind = 23
	KindNote       Kind = 24
	KindSync       Kind = 25
	KindForward    Kind = 26
	KindForwarded  Kind = 27
	KindLeaving    Kind = 28
	KindSuspects   Kind = 29
	KindUses       Kind = 30
)

// Protocol is the version of the frames this program writes. A router talks
// to any other whose OldestProtocol is not above it.
const (
	Protocol       = 1
	OldestProtocol = 1
)

// Hello is the first message on each connection.
type Hello struct {
	// Protocol and Oldest are the sender's Protocol and OldestProtocol.
	Protocol int
	Oldest   int
	// Name, Zone and Inc are the sender's.
	Name string
	Zone string
	Inc  uint64
	// Address is where the sender listens for peers, "" where routers are
	// known by their names.
	Address string
}

// ErrUnknown is returned for a message of a type that cannot be sent.
var ErrUnknown = errors.New("wire: unknown message type")

// kindOf returns the number of the message's type.
func kindOf(msg any) (Kind, error) {
	k, ok := kinds[reflect.TypeOf(msg)]
	if !ok {
		return 0, fmt.Errorf("%w: %T", ErrUnknown, msg)
	}
	return k, nil
}

// kinds is factories the other way round.
var kinds = func() map[reflect.Type]Kind {
	m := make(map[reflect.Type]Kind, len(factories))
	for k, f := range factories {
		m[reflect.TypeOf(f())] = k
	}
	return m
}()

// factories make an empty message of each kind.
var factories = map[Kind]func() any{
	KindHello:      func() any { return &Hello{} },
	KindDemand:     func() any { return &Demand{} },
	KindGrant:      func() any { return &Grant{} },
	KindReturn:     func() any { return &Return{} },
	KindReport:     func() any { return &Report{} },
	KindRenew:      func() any { return &Renew{} },
	KindRecall:     func() any { return &Recall{} },
	KindShare:      func() any { return &Share{} },
	KindNotOwner:   func() any { return &NotOwner{} },
	KindProbe:      func() any { return &Probe{} },
	KindAck:        func() any { return &Ack{} },
	KindTableAsk:   func() any { return &TableAsk{} },
	KindTableWhole: func() any { return &TableWhole{} },
	KindTableDelta: func() any { return &TableDelta{} },
	KindClaim:      func() any { return &Claim{} },
	KindAnswer:     func() any { return &ClaimAnswer{} },
	KindVoid:       func() any { return &ClaimVoid{} },
	KindState:      func() any { return &State{} },
	KindRoster:     func() any { return &Roster{} },
	KindNewsAsk:    func() any { return &NewsAsk{} },
	KindNews:       func() any { return &News{} },
	KindAsk:        func() any { return &Ask{} },
	KindReply:      func() any { return &Reply{} },
	KindNote:       func() any { return &Note{} },
	KindSync:       func() any { return &Sync{} },
	KindForward:    func() any { return &Forward{} },
	KindForwarded:  func() any { return &ForwardData{} },
	KindLeaving:    func() any { return &Leaving{} },
	KindSuspects:   func() any { return &Suspects{} },
	KindUses:       func() any { return &Uses{} },
}

// Encoder encodes the messages of one connection. A name that was sent before
// on the connection is sent again as a number, so both ends start anew with
// each connection, and every frame made must be sent.
type Encoder struct {
	buf *bytes.Buffer
	enc *msgpack.Encoder
}

// NewEncoder returns an encoder that appends to buf.
func NewEncoder(buf *bytes.Buffer) *Encoder {
	enc := msgpack.NewEncoder(buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	return &Encoder{buf: buf, enc: enc}
}

// Append encodes a message at the end of the buffer.
func (e *Encoder) Append(msg any) error {
	k, err := kindOf(msg)
	if err != nil {
		return err
	}
	if err := e.enc.EncodeUint8(uint8(k)); err != nil {
		return fmt.Errorf("wire: encode kind %d: %w", k, err)
	}
	if err := e.enc.Encode(msg); err != nil {
		return fmt.Errorf("wire: encode %T: %w", msg, err)
	}
	return nil
}

// Decoder decodes the frames of one connection, in their order.
type Decoder struct {
	in  *bytes.Reader
	dec *msgpack.Decoder
}

// NewDecoder returns a decoder for a new connection.
func NewDecoder() *Decoder {
	in := bytes.NewReader(nil)
	return &Decoder{in: in, dec: msgpack.NewDecoder(in)}
}

// Decode reads all messages of a payload. Messages of kinds that a newer
// router sent and this one does not know are passed over.
func (d *Decoder) Decode(payload []byte) ([]any, error) {
	d.in.Reset(payload)
	var msgs []any
	for {
		k, err := d.dec.DecodeUint8()
		if errors.Is(err, io.EOF) {
			return msgs, nil
		}
		if err != nil {
			return nil, fmt.Errorf("wire: decode kind: %w", err)
		}
		f, known := factories[Kind(k)]
		if !known {
			if err := d.dec.Skip(); err != nil {
				return nil, fmt.Errorf("wire: skip kind %d: %w", k, err)
			}
			continue
		}
		msg := f()
		if err := d.dec.Decode(msg); err != nil {
			return nil, fmt.Errorf("wire: decode kind %d: %w", k, err)
		}
		msgs = append(msgs, msg)
	}
}
