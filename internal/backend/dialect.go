package backend

import (
	"net/http"
	"strconv"
	"strings"
)

// Headers that are exchanged with backend servers unless a Dialect says
// otherwise.
const (
	// HeaderRequestID carries the request's id through the fleet.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the priority to an engine that honours it.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is how a backend server says that it did not run it.
	HeaderNotRun = "X-Not-Run"
)

// HeaderConfig names the headers that are exchanged with backend servers. An empty
// name means that the header is not spoken.
type HeaderConfig struct {
	// RequestID carries the request's id, which answers repeat.
	RequestID string
	// Priority carries the priority to an engine that honours it.
	Priority string
	// NotRun is set in an answer to a request that was not run.
	NotRun string
	// Deadline carries the time that is left, in milliseconds.
	Deadline string
	// Instance names the start of a backend server that is meant; any other
	// refuses the request with status 421.
	Instance string
	// Account carries the client account's name.
	Account string
	// Proof is set in every answer that a backend server made itself; a
	// success without it is none.
	Proof string
	// CopyPrefixFrom is the address of another backend server, from which this one copies
	// what it keeps of the prompt.
	CopyPrefixFrom string
	// Leaving is set in an answer of a backend server that is about to stop.
	Leaving string
	// LastEvent names the last event of a stream that was received.
	LastEvent string
}

// DefaultHeaders returns the headers of the product's own interface.
func DefaultHeaders() HeaderConfig {
	return HeaderConfig{RequestID: HeaderRequestID, Priority: HeaderPriority, NotRun: HeaderNotRun}
}

// notRun reports whether the backend server itself says that it did not run
// the request.
func (d *HeaderConfig) notRun(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return d.Instance != ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		said := resp.Header.Get(d.NotRun)
		return said != "" && said != "false"
	default:
		return false
	}
}

// proven reports whether a success is the backend server's own.
func (d *HeaderConfig) proven(resp *http.Response) bool {
	if d.Proof == "" || resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return true
	}
	return resp.Header.Get(d.Proof) != "" && resp.Header.Get("Content-Encoding") == ""
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// set writes a header if the dialect has a name for it.
func set(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// setOrDrop is set, but drops the header where there is no value, so that a
// caller cannot supply it.
func setOrDrop(h http.Header, name, value string) {
	if name == "" {
		return
	}
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

func formatPriority(p int) string { return strconv.Itoa(p) }
