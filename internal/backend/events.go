package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Bounds of a stream of events.
const (
	// maxEvent is the largest event, in bytes.
	maxEvent = 1 << 20
	readSize = 4 << 10
)

// Errors of a stream that is not what an engine should send.
var (
	ErrMalformed      = errors.New("backend: the stream holds something that is no event")
	ErrMixedResponses = errors.New("backend: the stream holds a part of another answer")
	ErrDataAfterEnd   = errors.New("backend: the stream goes on after its end")
	ErrEventTooLarge  = errors.New("backend: an event is over the limit")
)

// CompletionReader reads server-sent events of one answer and checks each of them.
type CompletionReader struct {
	r      *bufio.Reader
	event  bytes.Buffer
	id     string
	tokens int64
	done   bool
}

// NewCompletionReader returns a reader of the events in r.
func NewCompletionReader(r io.Reader) *CompletionReader {
	return &CompletionReader{r: bufio.NewReaderSize(r, readSize)}
}

// Tokens returns how many tokens the events so far carried.
func (e *CompletionReader) Tokens() int64 { return e.tokens }

// Done reports whether the answer's end was read.
func (e *CompletionReader) Done() bool { return e.done }

// Buffered reports whether more bytes have already come, so that what was read
// so far need not be sent on by itself.
func (e *CompletionReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the bytes of the next event with its blank line; they are valid
// until the next call. It returns io.EOF where the stream ends between events.
func (e *CompletionReader) Next() ([]byte, error) {
	e.event.Reset()
	for {
		line, err := e.line()
		if err != nil {
			return nil, midEvent(err, &e.event)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			if e.event.Len() > len(line) {
				return e.event.Bytes(), nil
			}
			continue
		}
		if err := e.check(line); err != nil {
			return nil, err
		}
	}
}

// LastEvent returns 0: these events have no numbers.
func (e *CompletionReader) LastEvent() uint64 { return 0 }

// line reads one line into the event and returns it.
func (e *CompletionReader) line() ([]byte, error) {
	start := e.event.Len()
	if err := readLine(e.r, &e.event); err != nil {
		return nil, err
	}
	return e.event.Bytes()[start:], nil
}

var (
	dataField = []byte("data:")
	endMark   = []byte("[DONE]")
	// otherFields are the fields of an event besides data, and comments.
	otherFields = [][]byte{[]byte("event:"), []byte("id:"), []byte("retry:"), []byte(":")}
)

func (e *CompletionReader) check(line []byte) error {
	if e.done {
		return ErrDataAfterEnd
	}
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		for _, f := range otherFields {
			if bytes.HasPrefix(line, f) {
				return nil
			}
		}
		return ErrMalformed
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, endMark) {
		e.done = true
		return nil
	}
	return e.checkData(data)
}

func (e *CompletionReader) checkData(data []byte) error {
	info, err := parseChunk(data)
	if err != nil {
		return err
	}
	if info.ID != "" && e.id == "" {
		e.id = info.ID
	}
	if info.ID != e.id && info.ID != "" {
		return ErrMixedResponses
	}
	if len(info.Choices) > 0 {
		e.tokens++
	}
	if info.Usage != nil && info.Usage.CompletionTokens > 0 {
		e.tokens = info.Usage.CompletionTokens
	}
	return nil
}

// chunk is what the router reads of an engine's answer. All else passes
// through unread.
type chunk struct {
	ID      string            `json:"id"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *usage            `json:"usage"`
}

type usage struct {
	CompletionTokens int64 `json:"completion_tokens"`
}

func parseChunk(data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return chunk{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return c, nil
}
