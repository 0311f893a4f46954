package backend_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestJSONThatIsNoCompletion guards against passing on, as a completion that is no stream, JSON that holds none.
func TestJSONThatIsNoCompletion(t *testing.T) {
	refused := callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true}
	passed := callOutcome{Verdict: verdict.Ran, Sent: true, Began: true}
	tests := map[string]struct {
		body string
		want callOutcome
	}{
		"empty object":               {`{}`, refused},
		"null":                       {`null`, refused},
		"object of another kind":     {`{"oops":1}`, refused},
		"two objects":                {`{"id":"x","choices":[]}{"id":"y","choices":[]}`, refused},
		"bytes that are no UTF-8":    {"{\"id\":\"x\",\"choices\":[\"\xff\"]}", refused},
		"completion":                 {`{"id":"x","choices":[{"text":"a"}]}`, passed},
		"completion without an id":   {`{"choices":[{"text":"a"}]}`, passed},
		"usage alone":                {`{"usage":{"completion_tokens":0}}`, passed},
		"error with a success":       {`{"error":{"message":"no"}}`, passed},
		"completion over many lines": {"{\r\n \"choices\": [ {} ]\r\n}\r\n", passed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(tc.body), tc.body)))
			sink := &recorder{}
			r, _ := do(newCall(s.ln.Addr().String()), sink)
			got := outcomeOf(r, 0)
			if diff := cmp.Diff(tc.want, got); diff != "" || r.Err == nil && sink.body.String() != tc.body || r.Err != nil && sink.status != 0 {
				t.Errorf("the caller received status %d, %q, outcome (-want +got):\n%s", sink.status, sink.body.String(), diff)
			}
		})
	}
}
