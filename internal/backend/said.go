package backend

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the rest that a backend server may ask for: a wrong value takes it away
// from this router for so long at the most.
const MaxRetryAfter = 10 * time.Minute

// maxUnread bounds what is kept of a value that could not be read, in bytes.
const maxUnread = 40

// Notice is what a backend server says of itself in an answer, beside the answer.
type Notice struct {
	// Leaving says that it is about to stop and wants no new request.
	Leaving bool
	// RetryAfter is for how long it wants no request from this router, 0 if it asks for
	// none.
	RetryAfter time.Duration
	// Invalid is a value that could not be read, "" if there is none.
	Invalid string
}

// said reads what a backend server says of itself. An answer of another one that has
// the address now says nothing of the one that was meant.
func (d *HeaderConfig) said(resp *http.Response, now time.Time) Notice {
	if resp.StatusCode == http.StatusMisdirectedRequest && d.Instance != "" {
		return Notice{}
	}
	var s Notice
	if d.Leaving != "" {
		s.Leaving, s.Invalid = readFlag(resp.Header.Get(d.Leaving))
	}
	if v := resp.Header.Get("Retry-After"); v != "" && resp.StatusCode == http.StatusServiceUnavailable {
		rest, ok := readRest(v, now)
		if !ok {
			s.Invalid = v
		}
		s.RetryAfter = rest
	}
	s.Invalid = s.Invalid[:min(maxUnread, len(s.Invalid))]
	return s
}

// readFlag reads a header that is set or not. What cannot be read is returned.
func readFlag(v string) (set bool, unread string) {
	if v == "" {
		return false, ""
	}
	set, err := strconv.ParseBool(strings.TrimSpace(v))
	if err != nil {
		return false, v
	}
	return set, ""
}

// readRest reads a time to come back in seconds, fractions included, or as a date.
func readRest(v string, now time.Time) (time.Duration, bool) {
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
