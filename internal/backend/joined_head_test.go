package backend_test

import (
	"strings"
	"testing"
)

// TestHeadOfTwoResponses guards against passing on a response whose head may be joined from two, or lacks what shows whose it
// is.
func TestHeadOfTwoResponses(t *testing.T) {
	const body = "Content-Length: 4\r\n\r\nbody"
	tests := map[string]struct{ text, code string }{
		"sound":                            {plainHead + body, ""},
		"the same id twice":                {plainHead + "X-Id: req-1\r\n" + body, ""},
		"another id after its own":         {plainHead + "X-Id: req-2\r\n" + body, "crossed-answer"},
		"its own id after another":         {strings.Replace(plainHead, "X-Id", "X-Id: req-2\r\nX-Id", 1) + body, "crossed-answer"},
		"two proofs":                       {plainHead + "X-Proof: q\r\n" + body, "bad-answer"},
		"no id":                            {strings.Replace(plainHead, "X-Id: req-1\r\n", "", 1) + body, "bad-answer"},
		"empty id":                         {strings.Replace(plainHead, "req-1", "", 1) + body, "bad-answer"},
		"empty proof":                      {strings.Replace(plainHead, "X-Proof: p", "X-Proof:", 1) + body, "bad-answer"},
		"proof is of the connection alone": {plainHead + "Connection: X-Proof\r\n" + body, "bad-answer"},
		"lengths that differ":              {plainHead + "Content-Length: 2\r\n" + body, "backend-broke"},
		"a list as length":                 {plainHead + "Content-Length: 4, 4\r\n\r\nbody", "backend-broke"},
		"encoding besides chunks":          {plainHead + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "backend-broke"},
		"chunked twice":                    {plainHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "backend-broke"},
		"status line as a header line":     {plainHead + "HTTP/1.1 200 OK\r\n" + body, "backend-broke"},
		"CR in a header line":              {plainHead + "X-A: b\rX-B: c\r\n" + body, "backend-broke"},
		"NUL in a header line":             {plainHead + "X-A: b\x00\r\n" + body, "backend-broke"},
		"text before the head":             {"oops" + plainHead + body, "backend-broke"},
		"a line before the head":           {"oops\r\n" + plainHead + body, "backend-broke"},
		"a blank line before the head":     {"\r\n" + plainHead + body, "backend-broke"},
		"interim head with a body":         {"HTTP/1.1 103 Hints\r\nContent-Length: 4\r\n\r\noops" + plainHead + body, "backend-broke"},
		"interim head of another request":  {"HTTP/1.1 103 Hints\r\nX-Id: req-2\r\nSet-Cookie: a=b\r\nX-Leaves: 1\r\n\r\n" + plainHead + body, ""},
		"bytes after the response":         {plainHead + body + plainHead + body, ""},
		"a length and chunks":              {plainHead + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\noops", ""},
		"extension of a chunk":             {plainHead + "Transfer-Encoding: chunked\r\n\r\n4;oops=\"x\"\r\nbody\r\n0;oops\r\n\r\n", ""},
		"bytes between chunks":             {plainHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\noops\r\n0\r\n\r\n", "answer-cut"},
		"LF in the extension of a chunk":   {plainHead + "Transfer-Encoding: chunked\r\n\r\n4;a\nb\r\nbody\r\n0\r\n\r\n", "answer-cut"},
		"bytes in place of a trailer":      {plainHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\noops\r\n\r\n", "answer-cut"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, sink := doPlain(t, tc.text, nil)
			if got.Code != tc.code {
				t.Errorf("code %q, want %q", got.Code, tc.code)
			}
			if body := sink.body.String(); tc.code == "" && body != "body" || tc.code != "" && sink.status != 0 {
				t.Errorf("the caller received status %d, body %q", sink.status, body)
			}
			if sink.header.Get("Set-Cookie") != "" {
				t.Errorf("the caller received %v", sink.header)
			}
		})
	}
}
