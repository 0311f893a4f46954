package front

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// smallBody is the size up to which a body counts as part of its connection, whose number is bounded.
const smallBody = 64 << 10

// errNoBodyMemory reports that a body would take more memory than all bodies may hold.
var errNoBodyMemory = errors.New("front: the bodies of open requests take all the memory that they may")

// bodyMemory counts the memory of the large bodies of all open requests.
type bodyMemory struct{ used atomic.Int64 }

// bodyReservation is the memory reserved for the body of one request. The zero value holds none.
type bodyReservation struct {
	memory *bodyMemory
	// held is the reserved memory in bytes.
	held int64
}

// grow reserves memory for a body of n bytes in all, and reports whether there is enough. limit bounds the memory
// of all bodies; 0 means no limit.
func (b *bodyReservation) grow(n, limit int64) bool {
	if n <= max(smallBody, b.held) {
		return true
	}
	more := n - b.held
	if used := b.memory.used.Add(more); limit > 0 && used > limit {
		b.memory.used.Add(-more)
		return false
	}
	b.held = n
	return true
}

// release returns all reserved memory.
func (b *bodyReservation) release() {
	if b.held > 0 {
		b.memory.used.Add(-b.held)
		b.held = 0
	}
}

// unstatedBody reads a body that does not state its length, and reserves memory as it comes.
type unstatedBody struct {
	io.Reader
	reservation *bodyReservation
	limit, read int64
}

// bufferGrowth is how many times a growing buffer takes what it holds, while it is copied to a larger one.
const bufferGrowth = 3

// Read implements io.Reader.
func (b *unstatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	if !b.reservation.grow(bufferGrowth*b.read, b.limit) {
		return 0, errNoBodyMemory
	}
	return n, err
}

// readAll reads a body of a stated length, or to its end if length is negative. It takes no memory before that
// is reserved.
func (b *bodyReservation) readAll(body io.Reader, length, limit int64) ([]byte, error) {
	var buf bytes.Buffer
	switch {
	case length < 0:
		body = &unstatedBody{Reader: body, reservation: b, limit: limit}
	case length > 0:
		size := length + bytes.MinRead
		if !b.grow(size, limit) {
			return nil, errNoBodyMemory
		}
		buf.Grow(int(size))
	}
	_, err := buf.ReadFrom(body)
	return buf.Bytes(), err
}
