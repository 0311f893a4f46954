package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// HeaderConfig names the headers that callers of routes speak. An empty name means
// that the header is not spoken.
type HeaderConfig struct {
	// RequestID carries the caller's own id of the request.
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
	// Key carries the client account's key, after KeyPrefix.
	Key       string
	KeyPrefix string
	// Tokens states the prompt's size and the most that may be generated,
	// separated by a comma.
	Tokens string
	// Parts lists the parts of the prompt in their order, each as ID:TOKENS
	// with the ID in hex, separated by commas. The last one is the request's
	// own.
	Parts string
	// LastEvent names the last event of a stream that the caller has.
	LastEvent string
	// Reserved are the headers that backend servers obey and only the fleet may
	// set: a caller's are dropped. All others are a caller's own and are passed
	// on, but for Key and those that concern one connection only.
	Reserved []string
	// FractionalRetryAfter says that callers understand fractions of a second.
	FractionalRetryAfter bool
}

// Headers that callers of routes may send unless a HeaderConfig says otherwise.
const (
	// HeaderTokens is HeaderConfig.Tokens.
	HeaderTokens = "Yarrowmast-Tokens"
	// HeaderParts is HeaderConfig.Parts.
	HeaderParts = "Yarrowmast-Parts"
	// HeaderLastEvent is HeaderConfig.LastEvent, as server-sent events have it.
	HeaderLastEvent = "Last-Event-ID"
)

// DefaultHeaders returns the headers of the product's own interface.
func DefaultHeaders() HeaderConfig {
	return HeaderConfig{
		RequestID: backend.HeaderRequestID, Deadline: HeaderDeadline, Key: "Authorization", KeyPrefix: "Bearer ",
		Tokens: HeaderTokens, Parts: HeaderParts, LastEvent: HeaderLastEvent,
		Reserved: []string{backend.HeaderPriority},
	}
}

// retryAfter formats a time to come back.
func (d *HeaderConfig) retryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// prompt is what a caller states of its prompt.
type prompt struct {
	// tokens is the prompt's size, output the most to be generated.
	tokens, output int64
	// shared is the size of the parts that other requests share.
	shared int64
	// prefix is a hash of the shared parts, 0 if there are none.
	prefix uint64
}

// readPrompt reads what the headers state of the prompt.
func (d *HeaderConfig) readPrompt(h http.Header) (prompt, *verdict.Error) {
	var p prompt
	if d.Tokens != "" {
		var ok bool
		if p, ok = statedTokens(h.Get(d.Tokens)); !ok {
			return p, badHeader(d.Tokens)
		}
	}
	if text := h.Get(d.Parts); d.Parts != "" && text != "" {
		return p, p.readParts(text, d.Parts)
	}
	return p, nil
}

// statedTokens reads the sizes that a caller states, "" for none.
func statedTokens(text string) (p prompt, ok bool) {
	if text == "" {
		return p, true
	}
	in, out, _ := strings.Cut(text, ",")
	var err1, err2 error
	p.tokens, err1 = strconv.ParseInt(strings.TrimSpace(in), 10, 64)
	if out != "" {
		p.output, err2 = strconv.ParseInt(strings.TrimSpace(out), 10, 64)
	}
	return p, err1 == nil && err2 == nil && p.tokens >= 0 && p.output >= 0
}

// readParts adds up all parts but the last, which is the request's own.
func (p *prompt) readParts(text, header string) *verdict.Error {
	own := strings.LastIndexByte(text, ',')
	if own < 0 {
		return nil
	}
	shared := text[:own]
	for part := range strings.SplitSeq(shared, ",") {
		_, size, ok := strings.Cut(part, ":")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 10, 64)
		if !ok || err != nil || n < 0 {
			return badHeader(header)
		}
		p.shared += n
	}
	p.prefix = xxhash.Sum64String(shared)
	return nil
}
