package backend_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// invalidBytes are bytes that are no event of a numbered stream. DUE stands for the number that is due, NEXT for the one
// after it.
var invalidBytes = map[string]string{
	"data without a number":             "data: x\n\n",
	"data without a number, CRLF":       "data: x\r\n\r\n",
	"text":                              "oops\n\n",
	"text without its blank line":       "oops\n",
	"binary":                            "\x00\xff\x13\x7f\n\n",
	"binary in a numbered event":        "\x00zz\nid: DUE\ndata: x\n\n",
	"JSON":                              "{\"error\":\"oops\"}\n\n",
	"head of another response":          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
	"header line in a numbered event":   "Content-Type: text/plain\nid: DUE\ndata: x\n\n",
	"number 0":                          "id: 0\ndata: x\n\n",
	"empty number":                      "id:\ndata: x\n\n",
	"number without a colon":            "id\ndata: x\n\n",
	"number too far":                    "id: NEXT\ndata: x\n\n",
	"number with zeros before it":       "id: 00DUE\ndata: x\n\n",
	"number with blanks":                "id:  DUE \ndata: x\n\n",
	"number with a blank of Unicode":    "id: DUE\u00a0\ndata: x\n\n",
	"two numbers":                       "id: DUE\nid: DUE\ndata: x\n\n",
	"number without its blank line":     "id: DUE\n",
	"number without data":               "id: DUE\n\n",
	"event field":                       "event: error\ndata: x\n\n",
	"retry field":                       "retry: 1\n\n",
	"several":                           "data: x\n\noops\n\ndata: y\n\n",
	"lines that end with CR":            "data: x\r\r\n",
	"number that ends with CR":          "id: DUE\rdata: x\n\n",
	"byte order mark":                   "\ufeffid: DUE\ndata: x\n\n",
	"data that is no UTF-8":             "id: DUE\ndata: \xff\xfe\n\n",
	"extension field after the number":  "id: DUE\nx-weights: 2\ndata: x\n\n",
	"extension field without an event":  "x-weights: 2\n\n",
	"extension field, other upper case": "X-Weights: 2\nid: DUE\ndata: x\n\n",
}

// TestBytesOfNoEventAreNotForwarded guards against passing on, as an event, bytes that a faulty backend server puts into a
// numbered stream.
func TestBytesOfNoEventAreNotForwarded(t *testing.T) {
	const first, last = 3, 6
	for name, text := range invalidBytes {
		for after := first - 1; after <= last; after += 2 {
			for framing, frame := range framings {
				t.Run(fmt.Sprintf("%s, after event %d of %d, %s", name, after, last, framing), func(t *testing.T) {
					junk := strings.NewReplacer("DUE", fmt.Sprint(after+1), "NEXT", fmt.Sprint(after+2)).Replace(text)
					s := serve(t, respond(frame(numbered(first, after)+junk+numbered(after+1, last))))
					call := routedCall(s.ln.Addr().String())
					resume(&call)
					sink := &recorder{}
					r := doRouted(call, sink)
					got := routedOutcome{Verdict: verdict.Ran, Began: r.Began, Last: r.LastEvent, Body: sink.body.String()}
					if r.Err != nil {
						got.Code, got.Verdict = r.Err.Code, r.Err.Verdict
					}
					want := routedOutcome{
						Code: "bad-answer", Verdict: verdict.MayHaveRun, Began: after >= first, Last: uint64(after), Body: numbered(first, after),
					}
					if after == last && text == "id: DUE\n" {
						want.Code = "answer-cut"
					}
					if diff := cmp.Diff(want, got); diff != "" {
						t.Errorf("outcome (-want +got):\n%s", diff)
					}
				})
			}
		}
	}
}

// framings are the ways in which the end of a stream is marked.
var framings = map[string]func(body string) string{
	"in chunks":     func(body string) string { return chunked(streamHead, body, true) },
	"until the end": func(body string) string { return unframedHead + body },
}

// TestSoundStreamsAreForwarded guards against refusing what the format of server-sent events allows.
func TestSoundStreamsAreForwarded(t *testing.T) {
	tests := map[string]string{
		"comment alone":                       "id: 1\ndata: x\n\n: ping\n\nid: 2\ndata: y\n\n",
		"comment before the first event":      ":\n\nid: 1\ndata: x\n\nid: 2\ndata: y\n\n",
		"comment after the last event":        "id: 1\ndata: x\n\nid: 2\ndata: y\n\n: bye\n\n",
		"comments in events":                  ": a\nid: 1\n: b\ndata: x\n: c\n\n:\nid: 2\ndata: y\n\n",
		"CRLF":                                "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
		"further blank lines":                 "\n\n\nid: 1\ndata: x\n\n\n\nid: 2\ndata: y\n\n",
		"data before the number":              "data: x\nid: 1\n\ndata: y\nid: 2\n\n",
		"several lines of data":               "id: 1\ndata: x\ndata: y\n\nid: 2\ndata\n\n",
		"no blank after the colon":            "id:1\ndata:x\n\nid:2\ndata:y\n\n",
		"event and retry fields":              "event: token\nid: 1\ndata: x\n\nretry: 100\nid: 2\ndata: y\n\n",
		"extension field":                     "x-weights: 7\nid: 1\ndata: x\n\n: a\nx-weights: 8\nid: 2\ndata: y\n\n",
		"more than a buffer of data":          "id: 1\ndata: " + strings.Repeat("x", 200<<10) + "\n\nid: 2\ndata: y\n\n",
		"control characters other than CR/LF": "id: 1\ndata: \t\x00\x1b[0m\n\nid: 2\ndata: y\n\n",
	}
	for name, body := range tests {
		for framing, frame := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				s := serve(t, respond(frame(body)))
				sink := &recorder{}
				r := doRouted(routedCall(s.ln.Addr().String()), sink)
				got := routedOutcome{Verdict: verdict.Ran, Began: r.Began, Last: r.LastEvent, Body: sink.body.String()}
				if r.Err != nil {
					got.Code, got.Verdict = r.Err.Code, r.Err.Verdict
				}
				if diff := cmp.Diff(routedOutcome{Verdict: verdict.Ran, Began: true, Last: 2, Body: body}, got); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		}
	}
}
