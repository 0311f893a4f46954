package explain_test

import (
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/explain"
	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// deadly is the log of a request of which one try was at two ends, and another one is held
// back at another router.
const deadly = `
time=2026-01-01T00:00:01.000Z level=INFO msg=request_at_end router=a-0 request=r1 digest=00000000000000aa backend=form-1 ends=1 from=""
time=2026-01-01T00:00:01.001Z level=INFO msg=request_at_end router=a-0 request=r9 digest=00000000000000bb backend=form-1 ends=1 from=""
time=2026-01-01T00:00:02.000Z level=INFO msg=request_at_end router=a-0 request=r1 digest=00000000000000aa backend=form-2 ends=2 from=""
time=2026-01-01T00:00:03.000Z level=INFO msg=request_at_end router=b-0 request=r2 digest=00000000000000aa backend=form-3 ends=3 from=""
time=2026-01-01T00:00:03.500Z level=INFO msg=request_cleared router=a-0 digest=00000000000000aa ends=3 reason=ran
time=2026-01-01T00:00:04.000Z level=WARN msg=request_held_back router=b-0 request=r3 digest=00000000000000aa ends=3 code=ends-backends
time=2026-01-01T00:00:04.000Z level=INFO msg=request_end router=b-0 request=r3 account=moka model=form status=503 code=ends-backends verdict=not-run attempts=0 waited_ms=0 total_ms=1
`

// TestExplainRequestThatEndsServers leads from a try that was held back to the ends that
// other tries of the same request were at.
func TestExplainRequestThatEndsServers(t *testing.T) {
	var list []logread.Record
	if _, err := logread.Each(strings.NewReader(deadly), func(r logread.Record) { list = append(list, r) }); err != nil {
		t.Fatal(err)
	}
	for id, others := range map[string][]string{"r3": {"form-1", "form-2", "form-3"}, "r9": {"form-1"}} {
		var b strings.Builder
		if err := explain.Explain(&b, id, list); err != nil {
			t.Fatal(err)
		}
		if got, want := strings.Contains(b.String(), "reason=ran"), id == "r3"; got != want {
			t.Errorf("%s: says that ends were taken back: %v\n%s", id, got, b.String())
		}
		for _, server := range []string{"form-1", "form-2", "form-3"} {
			want := false
			for _, o := range others {
				want = want || o == server
			}
			if strings.Contains(b.String(), "backend="+server) != want {
				t.Errorf("%s: %s named: %v\n%s", id, server, !want, b.String())
			}
		}
	}
}
