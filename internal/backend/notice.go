package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter limits the pause that a backend server can request, so that a wrong
// value does not exclude it for longer.
const MaxRetryAfter = 10 * time.Minute

// maxInvalid limits the logged part of an invalid header value, in bytes.
const maxInvalid = 40

// Notice is what a backend server announces about itself in response headers.
type Notice struct {
	// Leaving means that it is about to stop and accepts no new requests.
	Leaving bool
	// RetryAfter is how long it wants no requests from this router, 0 if it asked for no
	// pause.
	RetryAfter time.Duration
	// Invalid is a header value that could not be parsed, "" if there is none.
	Invalid string
}

// notice reads the notice in the response headers. A response with status 421 comes from
// another incarnation at the same address and says nothing about the expected one.
func (c *HeaderConfig) notice(resp *http.Response, now time.Time) Notice {
	if resp.StatusCode == http.StatusMisdirectedRequest && c.Instance != "" {
		return Notice{}
	}
	var n Notice
	if c.Leaving != "" {
		n.Leaving, n.Invalid = parseFlag(resp.Header.Get(c.Leaving))
	}
	if value := resp.Header.Get("Retry-After"); value != "" && resp.StatusCode == http.StatusServiceUnavailable {
		pause, ok := parseRetryAfter(value, now)
		if !ok {
			n.Invalid = value
		}
		n.RetryAfter = pause
	}
	n.Invalid = n.Invalid[:min(maxInvalid, len(n.Invalid))]
	return n
}

// parseFlag parses a boolean header. It returns the value itself if it is invalid.
func parseFlag(v string) (set bool, invalid string) {
	if v == "" {
		return false, ""
	}
	set, err := strconv.ParseBool(strings.TrimSpace(v))
	if err != nil {
		return false, v
	}
	return set, ""
}

// parseRetryAfter parses a number of seconds, which may have a fraction, or a date.
func parseRetryAfter(v string, now time.Time) (time.Duration, bool) {
	v = strings.TrimSpace(v)
	if seconds, err := strconv.ParseFloat(v, 64); err == nil {
		if !(seconds >= 0) {
			return 0, false
		}
		return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), true
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0, false
	}
	return min(max(0, at.Sub(now)), MaxRetryAfter), true
}
