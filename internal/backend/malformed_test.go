package backend_test

import (
	"io"
	"net"
	"strings"
	"testing"
)

// TestMalformedResponseIsNoDisconnect guards against taking bytes that are no response for the end of the backend server's
// connection, by which requests are accused of crashing it; and a crash for such bytes.
func TestMalformedResponseIsNoDisconnect(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n"
	event := "f\r\n" + numbered(1, 1) + "\r\n"
	tests := map[string]struct {
		text string
		// closes says that the server closes the connection after it.
		closes bool
		want   bool
	}{
		"text in place of a head":          {"oops\r\n\r\n", false, true},
		"binary in place of a head":        {"\x00\x01\x02\n", false, true},
		"malformed header line":            {"HTTP/1.1 200 OK\r\noops\r\n\r\n", false, true},
		"malformed header line, closed":    {"HTTP/1.1 200 OK\r\noops\r\n\r\n", true, true},
		"endless head":                     {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 16<<10), false, true},
		"responses to other requests":      {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 8), false, true},
		"unknown encoding":                 {streamHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", false, true},
		"text in place of a chunk":         {streamHead + chunks + event + "oops\r\n", false, true},
		"text in place of a chunk, closed": {streamHead + chunks + event + "oops\r\n" + strings.Repeat("x", 32<<10), true, true},
		"text in place of a trailer":       {streamHead + chunks + event + "0\r\noops\r\n\r\n", false, true},
		"no byte":                          {"", true, false},
		"closed within the head":           {"HTTP/1.1 200 OK\r\nX-Id", true, false},
		"closed after the head":            {streamHead + chunks, true, false},
		"closed between two chunks":        {streamHead + chunks + event, true, false},
		"closed within a chunk":            {streamHead + chunks + event[:5], true, false},
		"last chunk within an event":       {streamHead + chunks + "5\r\nid: 1\r\n0\r\n\r\n", false, false},
		"less than the length":             {streamHead + "Content-Length: 99\r\n\r\n" + numbered(1, 1), true, false},
		"whole":                            {streamHead + chunks + event + "0\r\n\r\n", false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(s *server, conn net.Conn) {
				if !s.readRequest(conn) {
					return
				}
				_, _ = io.WriteString(conn, tc.text)
				if !tc.closes {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			r := doRouted(routedCall(s.ln.Addr().String()), &recorder{})
			if r.Malformed != tc.want || (r.Err == nil) != (name == "whole") {
				t.Errorf("malformed: %v, %v", r.Malformed, r.Err)
			}
		})
	}
}
