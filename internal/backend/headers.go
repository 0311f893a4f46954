package backend

import (
	"net/http"
	"strconv"
	"strings"
)

// Default header names.
const (
	// HeaderRequestID holds the request id in requests and responses.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority holds the priority for engines that support it.
	HeaderPriority = "X-Priority"
	// HeaderNotRun is set in a response if the request was not run.
	HeaderNotRun = "X-Not-Run"
)

// HeaderConfig holds the names of the headers used with backend servers. An empty name
// disables the header.
type HeaderConfig struct {
	// RequestID holds the request id, which responses repeat.
	RequestID string
	// Priority holds the priority for engines that support it.
	Priority string
	// NotRun is set in a response if the request was not run.
	NotRun string
	// Deadline holds the remaining time in milliseconds.
	Deadline string
	// Instance holds the name of the expected incarnation of the backend server. Any
	// other one refuses the request with status 421.
	Instance string
	// Account holds the name of the client account.
	Account string
	// Proof is set in every response that the backend server itself created. A success
	// without it is rejected.
	Proof string
	// CopyPrefixFrom holds the address of another backend server, whose cached prompt
	// prefix the called one copies.
	CopyPrefixFrom string
	// Leaving is set in responses of a backend server that is about to stop.
	Leaving string
	// LastEvent holds the number of the last event that was received.
	LastEvent string
	// EventField is a field with which backend servers may begin events, besides those of the
	// format.
	EventField string
}

// DefaultHeaders returns the header names of the built-in API.
func DefaultHeaders() HeaderConfig {
	return HeaderConfig{RequestID: HeaderRequestID, Priority: HeaderPriority, NotRun: HeaderNotRun}
}

// ofResponses returns the names of the headers that backend servers set in responses.
func (c *HeaderConfig) ofResponses() []string {
	return []string{c.RequestID, c.NotRun, c.Instance, c.Proof, c.Leaving}
}

// notRun reports whether the backend server declares that it did not run the request.
func (c *HeaderConfig) notRun(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusMisdirectedRequest:
		return c.Instance != ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		value := resp.Header.Get(c.NotRun)
		return value != "" && value != "false"
	default:
		return false
	}
}

// hopHeaders apply to a single connection and are not forwarded.
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

// set sets a header unless its name is empty.
func set(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// setOrDelete is like set, but deletes the header if the value is empty, so that callers
// cannot supply it.
func setOrDelete(h http.Header, name, value string) {
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
