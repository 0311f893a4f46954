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

// HeaderConfig names the headers of routed requests. An empty name disables the header.
type HeaderConfig struct {
	// RequestID is the caller's ID of the request.
	RequestID string
	// Deadline is the time until the deadline, in milliseconds.
	Deadline string
	// Key is the client account's key, preceded by KeyPrefix.
	Key       string
	KeyPrefix string
	// Tokens is the number of prompt tokens and the maximum number of output tokens, separated
	// by a comma.
	Tokens string
	// Parts lists the parts of the prompt in order, separated by commas, each as ID:TOKENS
	// with a hexadecimal ID. The last part is unique to the request.
	Parts string
	// LastEvent is the number of the last stream event that the caller received.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream which the
	// request continues.
	Resumes string
	// Reserved lists headers that only routers may send to backend servers. They are removed
	// from callers' requests.
	Reserved []string
	// FractionalRetryAfter says that callers accept fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// Header names of DefaultHeaders.
const (
	// HeaderTokens is HeaderConfig.Tokens.
	HeaderTokens = "Yarrowmast-Tokens"
	// HeaderParts is HeaderConfig.Parts.
	HeaderParts = "Yarrowmast-Parts"
	// HeaderLastEvent is HeaderConfig.LastEvent, as in server-sent events.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderResumes is HeaderConfig.Resumes.
	HeaderResumes = "Yarrowmast-Resumes"
)

// DefaultHeaders returns the project's own header names.
func DefaultHeaders() HeaderConfig {
	return HeaderConfig{
		RequestID: backend.HeaderRequestID, Deadline: HeaderDeadline, Key: "Authorization", KeyPrefix: "Bearer ",
		Tokens: HeaderTokens, Parts: HeaderParts, LastEvent: HeaderLastEvent, Resumes: HeaderResumes,
		Reserved: []string{backend.HeaderPriority},
	}
}

// retryAfter formats the value of a Retry-After header.
func (c *HeaderConfig) retryAfter(after time.Duration) string {
	if c.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// prompt holds the prompt's sizes that the caller stated.
type prompt struct {
	// tokens is the size of the prompt, output the maximum size of the output.
	tokens, output int64
	// shared is the number of prompt tokens in parts shared with other requests.
	shared int64
	// prefix is a hash of the shared parts, 0 if there are none.
	prefix uint64
}

// parsePrompt reads the prompt's sizes and parts from the headers.
func (c *HeaderConfig) parsePrompt(h http.Header) (prompt, *verdict.Error) {
	var p prompt
	if c.Tokens != "" {
		var ok bool
		if p, ok = parseTokens(h.Get(c.Tokens)); !ok {
			return p, badHeader(c.Tokens)
		}
	}
	if text := h.Get(c.Parts); c.Parts != "" && text != "" {
		return p, p.addParts(text, c.Parts)
	}
	return p, nil
}

// parseTokens parses HeaderConfig.Tokens. Empty text yields zero sizes.
func parseTokens(text string) (p prompt, ok bool) {
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

// addParts sums the sizes of all parts but the last, which is unique to the request.
func (p *prompt) addParts(text, header string) *verdict.Error {
	last := strings.LastIndexByte(text, ',')
	if last < 0 {
		return nil
	}
	shared := text[:last]
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
