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

var (
	// errMalformed means that data is no chunk.
	errMalformed = errors.New("backend: malformed data")
	// errEventTooLarge means that an event exceeds maxEventBytes, or the memory that there is.
	errEventTooLarge = errors.New("backend: event exceeds the size limit")
)

// CompletionReader reads and checks the server-sent events of a completion. It counts
// their tokens.
type CompletionReader struct {
	r     *bufio.Reader
	event bytes.Buffer
	// data is the data of the event, valid if hasData is set. Its lines end with LF.
	data    bytes.Buffer
	hasData bool
	// id is the id of the response, "" until a chunk states it. anonymous says that content came without one.
	id        string
	anonymous bool
	tokens    int64
	done      bool
	// reserve reserves memory for an event; it may be nil.
	reserve func(n int64) bool
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

// Next returns the next event including its blank line, or a block of comments or of other fields. The bytes are valid until
// the next call. It returns io.EOF if the stream ends between events, and an *InvalidEventError if its
// bytes are no event of the response.
func (e *CompletionReader) Next() ([]byte, error) {
	e.event.Reset()
	e.data.Reset()
	e.hasData = false
	for {
		line, err := e.line()
		if err != nil {
			return nil, readError(err, &e.event, 0)
		}
		if text := trimLineEnd(line); len(text) > 0 {
			if err := e.addLine(text); err != nil {
				return nil, err
			}
			continue
		}
		if err := e.checkEvent(); err != nil {
			return nil, err
		}
		if e.event.Len() > len(line) {
			return e.event.Bytes(), nil
		}
	}
}

// LastEvent returns 0, since these events have no numbers.
func (e *CompletionReader) LastEvent() uint64 { return 0 }

// line appends one line to the event and returns it.
func (e *CompletionReader) line() ([]byte, error) {
	start := e.event.Len()
	if err := readLine(e.r, &e.event, e.reserve); err != nil {
		return nil, err
	}
	return e.event.Bytes()[start:], nil
}

var doneMarker = []byte("[DONE]")

// addLine adds a line that is not blank to the event.
func (e *CompletionReader) addLine(line []byte) error {
	if !isText(line) {
		return &InvalidEventError{Reason: InvalidText}
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
		return nil
	case "data":
		e.hasData = true
		e.data.Write(value)
		e.data.WriteByte('\n')
	case "event", "id", "retry":
	default:
		return &InvalidEventError{Reason: InvalidField}
	}
	if e.done {
		return &InvalidEventError{Reason: InvalidAfterEnd}
	}
	return nil
}

// checkEvent checks the data of a whole event.
func (e *CompletionReader) checkEvent() error {
	if !e.hasData {
		return nil
	}
	data := bytes.TrimSpace(e.data.Bytes())
	if bytes.Equal(data, doneMarker) {
		e.done = true
		return nil
	}
	info, err := parseChunk(data)
	if err != nil {
		return &InvalidEventError{Reason: InvalidData}
	}
	if err := e.checkID(&info); err != nil {
		return err
	}
	if len(info.Choices) > 0 {
		e.tokens++
	}
	if info.Usage != nil && info.Usage.CompletionTokens > 0 {
		e.tokens = info.Usage.CompletionTokens
	}
	return nil
}

// checkID checks that a chunk belongs to the response. An engine that states the response's id does so in each chunk
// from the first one with content on; one that never does is trusted.
func (e *CompletionReader) checkID(c *chunk) error {
	switch {
	case c.ID != "" && e.id == "" && !e.anonymous:
		e.id = c.ID
	case c.ID == "" && c.Error != nil && !c.hasContent():
		// Engines report a failure within a stream without the id.
	case c.ID != e.id:
		return &InvalidEventError{Reason: InvalidOrigin}
	case c.ID == "" && c.isEmpty():
		return &InvalidEventError{Reason: InvalidData}
	case c.ID == "":
		e.anonymous = e.anonymous || c.hasContent()
	}
	return nil
}

// chunk holds the parsed fields of an engine's response or stream event. The bytes are
// forwarded unchanged.
type chunk struct {
	ID      string            `json:"id"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *usage            `json:"usage"`
	Error   json.RawMessage   `json:"error"`
}

// isEmpty reports whether a chunk lacks all that an engine without ids sends.
func (c *chunk) isEmpty() bool { return c.Choices == nil && c.Usage == nil && c.Error == nil }

// hasContent reports whether a chunk holds a part of the completion.
func (c *chunk) hasContent() bool { return len(c.Choices) > 0 || c.Usage != nil }

type usage struct {
	CompletionTokens int64 `json:"completion_tokens"`
}

func parseChunk(data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return chunk{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return c, nil
}
