package wire

import "bytes"

// UpdateReferral names a router that was sent everything that the platform publishes in an epoch. It
// replies to a PlatformUpdateRequest of a router that knows nothing of the epoch, in place of the update.
type UpdateReferral struct {
	Address string
	Epoch   uint64
}

// Encoded is a message that was encoded once for many receivers.
type Encoded struct {
	kind Kind
	body []byte
}

// Encode encodes a message. Its type must not intern strings, since these are numbered by connection.
func Encode(msg any) (*Encoded, error) {
	kind, err := kindOf(msg)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if err := NewEncoder(&buf).encodeBody(msg); err != nil {
		return nil, err
	}
	return &Encoded{kind: kind, body: buf.Bytes()}, nil
}

// Decode returns the message.
func (m *Encoded) Decode() (any, error) {
	var buf bytes.Buffer
	if err := NewEncoder(&buf).Append(m); err != nil {
		return nil, err
	}
	msgs, err := NewDecoder().Decode(buf.Bytes())
	if err != nil || len(msgs) == 0 {
		return nil, err
	}
	return msgs[0], nil
}
