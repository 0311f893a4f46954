package explain_test

import (
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/explain"
	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// crashLog is the log of a request that crashed two backend servers, of a retry that crashed a
// third one, and of a retry that another router blocked.
const crashLog = `
time=2026-01-01T00:00:01.000Z level=INFO msg=request_at_end router=a-0 request=r1 digest=00000000000000aa backend=form-1 ends=1 from=""
time=2026-01-01T00:00:01.001Z level=INFO msg=request_at_end router=a-0 request=r9 digest=00000000000000bb backend=form-1 ends=1 from=""
time=2026-01-01T00:00:02.000Z level=INFO msg=request_at_end router=a-0 request=r1 digest=00000000000000aa backend=form-2 ends=2 from=""
time=2026-01-01T00:00:03.000Z level=INFO msg=request_at_end router=b-0 request=r2 digest=00000000000000aa backend=form-3 ends=3 from=""
time=2026-01-01T00:00:03.500Z level=INFO msg=request_cleared router=a-0 digest=00000000000000aa ends=3 reason=ran
time=2026-01-01T00:00:04.000Z level=WARN msg=request_held_back router=b-0 request=r3 digest=00000000000000aa ends=3 code=ends-backends
time=2026-01-01T00:00:04.000Z level=INFO msg=request_end router=b-0 request=r3 account=moka model=form status=503 code=ends-backends verdict=not-run attempts=0 waited_ms=0 total_ms=1
`

// TestExplainShowsCrashesOfRetries checks that the report on a blocked retry lists the crashes
// that earlier attempts of the same request caused.
func TestExplainShowsCrashesOfRetries(t *testing.T) {
	var records []logread.Record
	if _, err := logread.Each(strings.NewReader(crashLog), func(r logread.Record) { records = append(records, r) }); err != nil {
		t.Fatal(err)
	}
	for id, crashed := range map[string][]string{"r3": {"form-1", "form-2", "form-3"}, "r9": {"form-1"}} {
		var b strings.Builder
		if err := explain.Explain(&b, id, records); err != nil {
			t.Fatal(err)
		}
		if got, want := strings.Contains(b.String(), "reason=ran"), id == "r3"; got != want {
			t.Errorf("%s: shows the cleared crashes: %v\n%s", id, got, b.String())
		}
		for _, server := range []string{"form-1", "form-2", "form-3"} {
			want := false
			for _, c := range crashed {
				want = want || c == server
			}
			if strings.Contains(b.String(), "backend="+server) != want {
				t.Errorf("%s: shows %s: %v\n%s", id, server, !want, b.String())
			}
		}
	}
}
