package backend

import (
	"net/http"
	"slices"
)

// Framing is how the end of a response is marked.
type Framing uint8

const (
	// FramingUnknown: there was no response.
	FramingUnknown Framing = iota
	// FramingLength: the response states its length.
	FramingLength
	// FramingChunked: the response comes in chunks, of which the last is marked.
	FramingChunked
	// FramingClose: the response ends with its connection, so that its end may also be a crash of the
	// backend server.
	FramingClose
)

// String returns the framing as it stands in log lines.
func (f Framing) String() string { return [...]string{"", "length", "chunked", "close"}[f&3] }

// framingOf returns the framing of a response.
func framingOf(resp *http.Response) Framing {
	switch {
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return FramingChunked
	case resp.ContentLength >= 0:
		return FramingLength
	default:
		return FramingClose
	}
}
