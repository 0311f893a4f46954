package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/yarrowmast/yarrowmast/internal/bodymemory"
)

// eventReader reads the events of one response.
type eventReader interface {
	// Next returns the next event including its blank line. The bytes are valid until
	// the next call. It returns io.EOF if the response ends between events, and an
	// *InvalidEventError if its bytes are no event of the stream.
	Next() ([]byte, error)
	// Tokens returns the number of tokens or events read so far.
	Tokens() int64
	// LastEvent returns the number of the last event, 0 if it has none.
	LastEvent() uint64
	// Done reports whether the response is complete if it ends here.
	Done() bool
	// Buffered reports whether more bytes can be read without waiting.
	Buffered() bool
}

// numberedReader reads server-sent events whose numbers are consecutive. It does not
// interpret their data. Only an event with the number that is due, and comments, are passed on.
type numberedReader struct {
	r     *bufio.Reader
	event bytes.Buffer
	// extension is a field with which events may begin, "" for none.
	extension string
	last      uint64
	count     int64
	// reserve reserves memory for an event; it may be nil.
	reserve func(n int64) bool
}

// newNumberedReader returns a reader that expects the event after the given last one.
func newNumberedReader(r io.Reader, last uint64, extension string) *numberedReader {
	return &numberedReader{r: bufio.NewReaderSize(r, eventBufSize), last: last, extension: extension}
}

// eventFields are the fields of the event that is being read.
type eventFields struct {
	// number is the value of the id field, valid if hasNumber is set.
	number             uint64
	hasNumber, hasData bool
	// any says that there is a field, comment that there is a comment.
	any, comment bool
}

// Next implements eventReader.
func (e *numberedReader) Next() ([]byte, error) {
	e.event.Reset()
	var fields eventFields
	for {
		start := e.event.Len()
		if err := readLine(e.r, &e.event, e.reserve); err != nil {
			return nil, readError(err, &e.event, e.last)
		}
		line := trimLineEnd(e.event.Bytes()[start:])
		if len(line) > 0 {
			if reason := fields.add(line, e.extension); reason != "" {
				return nil, e.invalid(reason)
			}
			continue
		}
		switch {
		case fields.any:
			return e.event.Bytes(), e.accept(&fields)
		case fields.comment:
			return e.event.Bytes(), nil
		}
	}
}

// add adds a line that is not blank. It returns why the line can belong to no event, "" if it can.
func (f *eventFields) add(line []byte, extension string) InvalidReason {
	if !isText(line) {
		return InvalidText
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	isFirst := !f.any
	f.any = f.any || len(name) > 0
	switch string(name) {
	case "":
		f.comment = true
	case "id":
		return f.setNumber(value)
	case "data":
		f.hasData = true
	case "event", "retry":
	default:
		if !isFirst || string(name) != extension {
			return InvalidField
		}
	}
	return ""
}

func (f *eventFields) setNumber(value []byte) InvalidReason {
	// Callers compare the text, from which the format takes one blank.
	text := string(bytes.TrimPrefix(value, []byte(" ")))
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || f.hasNumber || text != strconv.FormatUint(n, 10) {
		return InvalidNumber
	}
	f.number, f.hasNumber = n, true
	return ""
}

// accept checks a complete event.
func (e *numberedReader) accept(f *eventFields) error {
	switch {
	case !f.hasNumber:
		return e.invalid(InvalidUnnumbered)
	case f.number != e.last+1:
		return e.invalid(InvalidOrder)
	case !f.hasData:
		return e.invalid(InvalidNoData)
	}
	e.last = f.number
	e.count++
	return nil
}

func (e *numberedReader) invalid(reason InvalidReason) error {
	return &InvalidEventError{Reason: reason, After: e.last}
}

// Tokens implements eventReader.
func (e *numberedReader) Tokens() int64 { return e.count }

// LastEvent implements eventReader.
func (e *numberedReader) LastEvent() uint64 { return e.last }

// Done implements eventReader. These streams have no end marker.
func (e *numberedReader) Done() bool { return true }

// Buffered implements eventReader.
func (e *numberedReader) Buffered() bool { return e.r.Buffered() > 0 }

// eventMemory is how many times a reader holds an event at most: as text, while its buffer grows, and the data of a completion.
const eventMemory = 2 * bodymemory.BufferGrowth

// readLine appends one line to the event. reserve reserves memory for it, unless it is nil.
func readLine(r *bufio.Reader, event *bytes.Buffer, reserve func(n int64) bool) error {
	for {
		part, err := r.ReadSlice('\n')
		size := event.Len() + len(part)
		if size > maxEventBytes || reserve != nil && !reserve(int64(eventMemory*size)) {
			return errEventTooLarge
		}
		event.Write(part)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// trimLineEnd returns a line without its end, which is LF or CRLF.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// isText reports whether a line is UTF-8 without a CR, which callers would take for the line's end.
func isText(line []byte) bool { return bytes.IndexByte(line, '\r') < 0 && utf8.Valid(line) }

// readError converts an error of reading a line of an event. after is the number of the event before it.
func readError(err error, event *bytes.Buffer, after uint64) error {
	if errors.Is(err, errEventTooLarge) {
		return &InvalidEventError{Reason: InvalidSize, After: after}
	}
	return eofToUnexpected(err, event)
}

// eofToUnexpected replaces io.EOF by io.ErrUnexpectedEOF within an event.
func eofToUnexpected(err error, event *bytes.Buffer) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(event.Bytes())) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
