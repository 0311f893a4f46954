package backend_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestSuccessThatIsNoStream guards against passing on the bytes of a successful response unchecked, where a stream was due,
// because its head calls them something else.
func TestSuccessThatIsNoStream(t *testing.T) {
	for _, status := range []int{200, 201, 202, 204, 206} {
		for _, contentType := range []string{"", "text/plain", "application/json", "text/event-streams", "text/event-stream, text/plain"} {
			for framing, frame := range framings {
				t.Run(fmt.Sprintf("%d %q, %s", status, contentType, framing), func(t *testing.T) {
					text := strings.Replace(frame("data: x\n\n"), "200", fmt.Sprint(status), 1)
					text = strings.Replace(text, "text/event-stream\r\n", contentType+"\r\n", 1)
					s := serve(t, respond(text))
					sink := &recorder{}
					got := outcomeOf(doRouted(routedCall(s.ln.Addr().String()), sink), 0)
					want := callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true}
					if diff := cmp.Diff(want, got); diff != "" || sink.status != 0 || sink.body.Len() > 0 {
						t.Errorf("status %d, body %q, outcome (-want +got):\n%s", sink.status, sink.body.String(), diff)
					}
				})
			}
		}
	}
}

// TestFailureOfStreamingRoute guards against refusing the failures of a streaming route, which are no streams.
func TestFailureOfStreamingRoute(t *testing.T) {
	for _, status := range []int{302, 400, 404, 500, 504} {
		text := strings.Replace(chunked(streamHead, "no", true), "200", fmt.Sprint(status), 1)
		for _, contentType := range []string{"text/event-stream", "text/plain"} {
			t.Run(fmt.Sprintf("%d %s", status, contentType), func(t *testing.T) {
				s := serve(t, respond(strings.Replace(text, "text/event-stream", contentType, 1)))
				sink := &recorder{}
				r := doRouted(routedCall(s.ln.Addr().String()), sink)
				if r.Err != nil || sink.status != status || sink.body.String() != "no" {
					t.Errorf("%v, status %d, body %q", r.Err, sink.status, sink.body.String())
				}
			})
		}
	}
}
