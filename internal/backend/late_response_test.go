package backend_test

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestLateResponseWithoutID guards against taking a second response to an earlier request, which comes late on a kept
// connection and bears no id, for the response to the next request there.
func TestLateResponseWithoutID(t *testing.T) {
	const (
		first  = "HTTP/1.1 200 OK\r\nX-Id: req-1\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok"
		noIDs  = "HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 2\r\n\r\nok"
		sealed = "X-Proof: p\r\nContent-Length: 4\r\n\r\nlate"
		busy   = "HTTP/1.1 503 Busy\r\nX-Unrun: 1\r\n" + sealed
		other  = "HTTP/1.1 421 Other\r\n" + sealed
	)
	// withoutProof are the headers of an interface whose backend servers give no proofs.
	withoutProof := testHeaders()
	withoutProof.Proof = ""
	broke := callOutcome{Verdict: verdict.MayHaveRun, Code: "backend-broke", Sent: true}
	refused := callOutcome{Verdict: verdict.NotRun, Code: "backend-refused", Sent: true}
	replaced := callOutcome{Verdict: verdict.NotRun, Code: "backend-replaced", Sent: true}
	served := callOutcome{Verdict: verdict.Ran, Sent: true, Began: true}
	tests := map[string]struct {
		headers     backend.HeaderConfig
		first, late string
		want        callOutcome
		body        string
	}{
		"success":                           {testHeaders(), first, "HTTP/1.1 200 OK\r\n" + sealed, broke, ""},
		"failure":                           {testHeaders(), first, "HTTP/1.1 404 None\r\n" + sealed, broke, ""},
		"server error":                      {testHeaders(), first, "HTTP/1.1 500 Oops\r\n" + sealed, broke, ""},
		"refusal":                           {testHeaders(), first, busy, refused, ""},
		"refusal, not repeatable":           {testHeaders(), first, busy, served, "ok"},
		"other instance":                    {testHeaders(), first, other, replaced, ""},
		"other instance, not repeatable":    {testHeaders(), first, other, served, "ok"},
		"no proofs in use":                  {withoutProof, first, "HTTP/1.1 200 OK\r\n" + sealed, broke, ""},
		"no response":                       {testHeaders(), first, "oops", broke, ""},
		"id of the earlier request":         {testHeaders(), first, "HTTP/1.1 200 OK\r\nX-Id: req-0\r\n" + sealed, served, "ok"},
		"server that never states ids":      {withoutProof, noIDs, "", served, "ok"},
		"nothing late, server states an id": {testHeaders(), first, "", served, "ok"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, respondInOrder(tc.first, tc.late+tc.first))
			c := backend.New(backend.WithHeaders(tc.headers))
			defer c.Close()
			call := routedCall(s.ln.Addr().String())
			call.MayStream = false
			call.NotRepeatable = strings.HasSuffix(name, "not repeatable")
			if r := c.Do(context.Background(), call, &recorder{}); r.Err != nil {
				t.Fatal(r.Err)
			}
			sink := &recorder{}
			got := outcomeOf(c.Do(context.Background(), call, sink), 0)
			if diff := cmp.Diff(tc.want, got); diff != "" || sink.body.String() != tc.body {
				t.Errorf("the caller received %q, outcome (-want +got):\n%s", sink.body.String(), diff)
			}
		})
	}
}
