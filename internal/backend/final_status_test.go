package backend_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestStatusOfNoFinalResponse guards against passing on a status that ends no request: the bytes after it would be taken for
// another protocol's.
func TestStatusOfNoFinalResponse(t *testing.T) {
	for _, line := range []string{"101 Switching", "600 Odd", "777 Odd", "999 Odd"} {
		for kind, mayStream := range map[string]bool{"stream": true, "plain": false} {
			t.Run(line+", "+kind, func(t *testing.T) {
				head := strings.Replace(plainHead, "200 OK", line, 1) + "Connection: upgrade\r\nUpgrade: x\r\n\r\nbody"
				got, sink := doPlain(t, head, func(c *backend.Call) { c.MayStream = mayStream })
				want := callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true}
				if diff := cmp.Diff(want, got); diff != "" || sink.status != 0 {
					t.Errorf("status %d, outcome (-want +got):\n%s", sink.status, diff)
				}
			})
		}
	}
}
