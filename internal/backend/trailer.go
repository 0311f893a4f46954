package backend

import (
	"maps"
	"net/http"
	"slices"
)

// notInTrailers are fields, besides hopHeaders, that must not come in a trailer: they change how a response is
// delimited, decoded, cached or repeated, or who may see it.
var notInTrailers = []string{
	"Age", "Authorization", "Cache-Control", "Content-Encoding", "Content-Length", "Content-Range", "Content-Type",
	"Date", "Expires", "Host", "Location", "Pragma", "Retry-After", "Set-Cookie", "Vary", "Www-Authenticate",
}

// announcedTrailer returns the names of the fields that a response announces for its trailer. The
// trailer is read with the body.
func announcedTrailer(resp *http.Response) []string { return slices.Collect(maps.Keys(resp.Trailer)) }

// forwardTrailer forwards the announced fields of the trailer that callers may get.
func (x *roundTrip) forwardTrailer(resp *http.Response) {
	h := http.Header{}
	for _, name := range x.announced {
		if values := resp.Trailer[name]; len(values) > 0 {
			h[name] = values
		}
	}
	removeHopHeaders(h)
	for _, name := range slices.Concat(notInTrailers, x.client.opt.headers.ofResponses()) {
		h.Del(name)
	}
	x.sink.Trailer(h)
}
