package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// Kind is the number of a message type. Numbers are never reused.
type Kind uint8

// The message types. The fields of a type never change, because the decoder
// rejects an array of another length: add a new type instead. A new type must not
// intern strings, because older routers skip it and would miss strings that later
// messages refer to.
const (
	KindHello                 Kind = 1
	KindDemand                Kind = 2
	KindGrant                 Kind = 3
	KindReturn                Kind = 4
	KindReport                Kind = 5
	KindRenew                 Kind = 6
	KindRecall                Kind = 7
	KindShare                 Kind = 8
	KindNotOwner              Kind = 9
	KindProbe                 Kind = 10
	KindAck                   Kind = 11
	KindTableRequest          Kind = 12
	KindFullTable             Kind = 13
	KindTableDelta            Kind = 14
	KindClaim                 Kind = 15
	KindClaimReply            Kind = 16
	KindClaimRelease          Kind = 17
	KindRouterState           Kind = 18
	KindRoster                Kind = 19
	KindPlatformUpdateRequest Kind = 20
	KindPlatformUpdate        Kind = 21
	KindSlotRequest           Kind = 22
	KindSlotReply             Kind = 23
	KindRequestUpdate         Kind = 24
	KindRequestSync           Kind = 25
	KindForward               Kind = 26
	KindForwardData           Kind = 27
	KindLeaving               Kind = 28
	KindSuspectUpdate         Kind = 29
	KindUsage                 Kind = 30
	KindRestrictedUpdate      Kind = 31
	KindUpdateReferral        Kind = 32
	KindSlotContext           Kind = 33
	KindEngineStates          Kind = 34
	KindCapacityReport        Kind = 35
	KindReturnOffer           Kind = 36
	KindReturnPromise         Kind = 37
	KindServerSpeeds          Kind = 38
	KindSlotMargin            Kind = 39
	KindStreamPauses          Kind = 40
	KindSoftwareVersions      Kind = 41
	KindStreamOrigins         Kind = 42
	KindOriginQuery           Kind = 43
	KindOriginReply           Kind = 44
	KindPartCrashes           Kind = 45
	KindListedVersions        Kind = 46
	KindVerifyRequest         Kind = 47
	KindOriginBasis           Kind = 48
	KindSeniorVersions        Kind = 49
)

// Protocol is the version of the protocol that this program writes, OldestProtocol the
// oldest version that it accepts.
const (
	Protocol       = 1
	OldestProtocol = 1
)

// Hello is the first message on each connection.
type Hello struct {
	// Protocol and Oldest are the sender's Protocol and OldestProtocol.
	Protocol int
	Oldest   int
	// Name, Zone and Incarnation identify the sender's process.
	Name        string
	Zone        string
	Incarnation uint64
	// Address is where the sender listens for peers, "" if routers are
	// identified by their names.
	Address string
}

// ErrUnknownType is returned for a message whose type has no Kind.
var ErrUnknownType = errors.New("wire: unknown message type")

func kindOf(msg any) (Kind, error) {
	k, ok := kindByType[reflect.TypeOf(msg)]
	if !ok {
		return 0, fmt.Errorf("%w: %T", ErrUnknownType, msg)
	}
	return k, nil
}

// kindByType is the inverse of newMessage.
var kindByType = func() map[reflect.Type]Kind {
	m := make(map[reflect.Type]Kind, len(newMessage))
	for k, f := range newMessage {
		m[reflect.TypeOf(f())] = k
	}
	return m
}()

// newMessage has a constructor for each kind.
var newMessage = map[Kind]func() any{
	KindHello:                 func() any { return &Hello{} },
	KindDemand:                func() any { return &Demand{} },
	KindGrant:                 func() any { return &Grant{} },
	KindReturn:                func() any { return &Return{} },
	KindReport:                func() any { return &Report{} },
	KindRenew:                 func() any { return &Renew{} },
	KindRecall:                func() any { return &Recall{} },
	KindShare:                 func() any { return &Share{} },
	KindNotOwner:              func() any { return &NotOwner{} },
	KindProbe:                 func() any { return &Probe{} },
	KindAck:                   func() any { return &Ack{} },
	KindTableRequest:          func() any { return &TableRequest{} },
	KindFullTable:             func() any { return &FullTable{} },
	KindTableDelta:            func() any { return &TableDelta{} },
	KindClaim:                 func() any { return &Claim{} },
	KindClaimReply:            func() any { return &ClaimReply{} },
	KindClaimRelease:          func() any { return &ClaimRelease{} },
	KindRouterState:           func() any { return &RouterState{} },
	KindRoster:                func() any { return &Roster{} },
	KindPlatformUpdateRequest: func() any { return &PlatformUpdateRequest{} },
	KindPlatformUpdate:        func() any { return &PlatformUpdate{} },
	KindSlotRequest:           func() any { return &SlotRequest{} },
	KindSlotReply:             func() any { return &SlotReply{} },
	KindRequestUpdate:         func() any { return &RequestUpdate{} },
	KindRequestSync:           func() any { return &RequestSync{} },
	KindForward:               func() any { return &Forward{} },
	KindForwardData:           func() any { return &ForwardData{} },
	KindLeaving:               func() any { return &Leaving{} },
	KindSuspectUpdate:         func() any { return &SuspectUpdate{} },
	KindUsage:                 func() any { return &Usage{} },
	KindRestrictedUpdate:      func() any { return &RestrictedUpdate{} },
	KindUpdateReferral:        func() any { return &UpdateReferral{} },
	KindSlotContext:           func() any { return &SlotContext{} },
	KindEngineStates:          func() any { return &EngineStates{} },
	KindCapacityReport:        func() any { return &CapacityReport{} },
	KindReturnOffer:           func() any { return &ReturnOffer{} },
	KindReturnPromise:         func() any { return &ReturnPromise{} },
	KindServerSpeeds:          func() any { return &ServerSpeeds{} },
	KindSlotMargin:            func() any { return &SlotMargin{} },
	KindStreamPauses:          func() any { return &StreamPauses{} },
	KindSoftwareVersions:      func() any { return &SoftwareVersions{} },
	KindStreamOrigins:         func() any { return &StreamOrigins{} },
	KindOriginQuery:           func() any { return &OriginQuery{} },
	KindOriginReply:           func() any { return &OriginReply{} },
	KindPartCrashes:           func() any { return &PartCrashes{} },
	KindListedVersions:        func() any { return &ListedVersions{} },
	KindVerifyRequest:         func() any { return &VerifyRequest{} },
	KindOriginBasis:           func() any { return &OriginBasis{} },
	KindSeniorVersions:        func() any { return &SeniorVersions{} },
}

// Encoder encodes the messages of one connection. It sends an interned string only
// once per connection and then refers to it by number. Each connection therefore needs
// its own Encoder and Decoder, and the caller must send every frame in order.
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

// Append encodes a message and appends it to the buffer.
func (e *Encoder) Append(msg any) error {
	if m, ok := msg.(*Encoded); ok {
		if err := e.encodeKind(m.kind); err != nil {
			return err
		}
		_, err := e.buf.Write(m.body)
		return err
	}
	k, err := kindOf(msg)
	if err != nil {
		return err
	}
	if err := e.encodeKind(k); err != nil {
		return err
	}
	return e.encodeBody(msg)
}

func (e *Encoder) encodeKind(k Kind) error {
	if err := e.enc.EncodeUint8(uint8(k)); err != nil {
		return fmt.Errorf("wire: encode kind %d: %w", k, err)
	}
	return nil
}

func (e *Encoder) encodeBody(msg any) error {
	if err := e.enc.Encode(msg); err != nil {
		return fmt.Errorf("wire: encode %T: %w", msg, err)
	}
	return nil
}

// Decoder decodes the frames of one connection in order.
type Decoder struct {
	src *bytes.Reader
	dec *msgpack.Decoder
}

// NewDecoder returns a decoder for a new connection.
func NewDecoder() *Decoder {
	src := bytes.NewReader(nil)
	return &Decoder{src: src, dec: msgpack.NewDecoder(src)}
}

// Decode returns all messages of a payload. It skips messages of unknown kinds,
// which newer routers may send.
func (d *Decoder) Decode(payload []byte) ([]any, error) {
	if err := checkShape(payload); err != nil {
		return nil, err
	}
	d.src.Reset(payload)
	var msgs []any
	for {
		k, err := d.dec.DecodeUint8()
		if errors.Is(err, io.EOF) {
			return msgs, nil
		}
		if err != nil {
			return nil, fmt.Errorf("wire: decode kind: %w", err)
		}
		newMsg, known := newMessage[Kind(k)]
		if !known {
			if err := d.dec.Skip(); err != nil {
				return nil, fmt.Errorf("wire: skip kind %d: %w", k, err)
			}
			continue
		}
		msg := newMsg()
		if err := d.dec.Decode(msg); err != nil {
			return nil, fmt.Errorf("wire: decode kind %d: %w", k, err)
		}
		msgs = append(msgs, msg)
	}
}
