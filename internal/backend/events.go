package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	maxEventBytes = 1 << 20
	eventBufSize  = 4 << 10
)

// Errors of an invalid event stream.
var (
	ErrMalformed      = errors.New("backend: stream holds malformed data")
	ErrMixedResponses = errors.New("backend: stream holds a chunk of another response")
	ErrDataAfterEnd   = errors.New("backend: stream continues after its end marker")
	ErrEventTooLarge  = errors.New("backend: event exceeds the size limit")
)

// CompletionReader reads and checks the server-sent events of a completion. It counts
// their tokens.
type CompletionReader struct {
	r      *bufio.Reader
	event  bytes.Buffer
	id     string
	tokens int64
	done   bool
}

// NewCompletionReader returns a reader of events from r.
func NewCompletionReader(r io.Reader) *CompletionReader {
	return &CompletionReader{r: bufio.NewReaderSize(r, eventBufSize)}
}

// Tokens returns the number of tokens read so far.
func (e *CompletionReader) Tokens() int64 { return e.tokens }

// Done reports whether the end marker was read.
func (e *CompletionReader) Done() bool { return e.done }

// Buffered reports whether more bytes can be read without waiting.
func (e *CompletionReader) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next event including its blank line. The bytes are valid until the
// next call. It returns io.EOF if the stream ends between events.
func (e *CompletionReader) Next() ([]byte, error) {
	e.event.Reset()
	for {
		line, err := e.line()
		if err != nil {
			return nil, eofToUnexpected(err, &e.event)
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

// LastEvent returns 0, since these events have no numbers.
func (e *CompletionReader) LastEvent() uint64 { return 0 }

// line appends one line to the event and returns it.
func (e *CompletionReader) line() ([]byte, error) {
	start := e.event.Len()
	if err := readLine(e.r, &e.event); err != nil {
		return nil, err
	}
	return e.event.Bytes()[start:], nil
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
	// otherPrefixes begin the other fields of an event, and comments.
	otherPrefixes = [][]byte{[]byte("event:"), []byte("id:"), []byte("retry:"), []byte(":")}
)

func (e *CompletionReader) check(line []byte) error {
	if e.done {
		return ErrDataAfterEnd
	}
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		for _, f := range otherPrefixes {
			if bytes.HasPrefix(line, f) {
				return nil
			}
		}
		return ErrMalformed
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
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

// chunk holds the parsed fields of an engine's response or stream event. The bytes are
// forwarded unchanged.
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
