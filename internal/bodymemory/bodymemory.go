// Package bodymemory bounds the memory of the bodies that a process holds, of requests and of responses that are read whole.
package bodymemory

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// Small is the size up to which a body counts as part of its connection, whose number is bounded.
const Small = 64 << 10

// ErrFull reports that a body would take more memory than all bodies may hold.
var ErrFull = errors.New("bodymemory: the open bodies take all the memory that they may")

// Memory counts the memory of the large bodies of a process. The zero value counts none.
type Memory struct{ used atomic.Int64 }

// Used returns the reserved memory in bytes.
func (m *Memory) Used() int64 { return m.used.Load() }

// Reservation is the memory reserved for one body. It is not safe for concurrent use.
type Reservation struct {
	// Memory is what the reservation is taken from.
	Memory *Memory
	// held is the reserved memory in bytes.
	held int64
}

// Grow reserves memory for a body of n bytes in all, and reports whether there is enough. limit bounds the memory
// of all bodies; 0 means no limit.
func (r *Reservation) Grow(n, limit int64) bool {
	if n <= max(Small, r.held) {
		return true
	}
	more := n - r.held
	if used := r.Memory.used.Add(more); limit > 0 && used > limit {
		r.Memory.used.Add(-more)
		return false
	}
	r.held = n
	return true
}

// Release returns all reserved memory.
func (r *Reservation) Release() {
	if r.held > 0 {
		r.Memory.used.Add(-r.held)
		r.held = 0
	}
}

// unstatedBody reads a body that does not state its length, and reserves memory as it comes.
type unstatedBody struct {
	io.Reader
	grow func(n int64) bool
	read int64
}

// BufferGrowth is how many times a growing buffer takes what it holds, while it is copied to a larger one.
const BufferGrowth = 3

// Read implements io.Reader.
func (b *unstatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	if !b.grow(BufferGrowth * b.read) {
		return 0, ErrFull
	}
	return n, err
}

// ReadAll reads a body of a stated length, or to its end if length is negative. It takes no memory before that
// is reserved.
func (r *Reservation) ReadAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return ReadUnstated(body, func(n int64) bool { return r.Grow(n, limit) })
	}
	size := length + bytes.MinRead
	if length > 0 && !r.Grow(size, limit) {
		return nil, ErrFull
	}
	var buf bytes.Buffer
	if length > 0 {
		buf.Grow(int(size))
	}
	_, err := buf.ReadFrom(body)
	return buf.Bytes(), err
}

// ReadUnstated reads a body to its end. It calls grow for the memory that it takes, and fails with ErrFull if that
// returns false.
func ReadUnstated(body io.Reader, grow func(n int64) bool) ([]byte, error) {
	var buf bytes.Buffer
	_, err := buf.ReadFrom(&unstatedBody{Reader: body, grow: grow})
	return buf.Bytes(), err
}
