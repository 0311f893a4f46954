package backend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// eventReader reads the events of one answer.
type eventReader interface {
	// Next returns the bytes of the next event with its blank line, valid
	// until the next call, or io.EOF where the answer ends between events.
	Next() ([]byte, error)
	// Tokens returns how many tokens or events were read.
	Tokens() int64
	// LastEvent returns the number of the last event, 0 if it has none.
	LastEvent() uint64
	// Done reports whether the answer may end here.
	Done() bool
	// Buffered reports whether more bytes have already come.
	Buffered() bool
}

// ErrOutOfOrder says that an event's number does not follow the one before.
var ErrOutOfOrder = errors.New("backend: the stream's events are not in order")

var idField = []byte("id:")

// numbered reads events whose data is of no concern, but whose numbers must
// rise by one.
type numbered struct {
	r     *bufio.Reader
	event bytes.Buffer
	last  uint64
	count int64
}

// newNumbered returns a reader of events that follow the one numbered last.
func newNumbered(r io.Reader, last uint64) *numbered {
	return &numbered{r: bufio.NewReaderSize(r, readSize), last: last}
}

// Next implements eventReader.
func (e *numbered) Next() ([]byte, error) {
	e.event.Reset()
	id := uint64(0)
	for {
		start := e.event.Len()
		if err := readLine(e.r, &e.event); err != nil {
			return nil, midEvent(err, &e.event)
		}
		line := bytes.TrimRight(e.event.Bytes()[start:], "\r\n")
		if len(line) == 0 {
			if e.event.Len() <= 2 {
				continue
			}
			return e.event.Bytes(), e.take(id)
		}
		if text, ok := bytes.CutPrefix(line, idField); ok {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
			if err != nil {
				return nil, ErrMalformed
			}
			id = n
		}
	}
}

func (e *numbered) take(id uint64) error {
	if id != 0 {
		if id != e.last+1 {
			return fmt.Errorf("%w: %d after %d", ErrOutOfOrder, id, e.last)
		}
		e.last = id
	}
	e.count++
	return nil
}

// Tokens implements eventReader.
func (e *numbered) Tokens() int64 { return e.count }

// LastEvent implements eventReader.
func (e *numbered) LastEvent() uint64 { return e.last }

// Done implements eventReader: the end of the answer is the stream's.
func (e *numbered) Done() bool { return true }

// Buffered implements eventReader.
func (e *numbered) Buffered() bool { return e.r.Buffered() > 0 }

// readLine appends one line to the event.
func readLine(r *bufio.Reader, event *bytes.Buffer) error {
	for {
		part, err := r.ReadSlice('\n')
		event.Write(part)
		if event.Len() > maxEvent {
			return ErrEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// midEvent turns an end within an event into an unexpected one.
func midEvent(err error, event *bytes.Buffer) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event.Bytes())) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
