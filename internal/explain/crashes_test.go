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

// partLog is the log of a part under which backend servers crashed, and of a request that was refused for it.
const partLog = `
time=2026-01-01T00:00:01.000Z level=INFO msg=part_at_end router=a-0 part=00000000000000aa backend=form-1 ends=2 from=""
time=2026-01-01T00:00:02.000Z level=INFO msg=part_at_end router=b-0 part=00000000000000bb backend=form-2 ends=2 from=""
time=2026-01-01T00:00:03.000Z level=WARN msg=part_blocked router=b-0 part=00000000000000aa ends=3 certain=true
time=2026-01-01T00:00:04.000Z level=WARN msg=request_held_back router=a-0 request=r3 digest=00000000000000cc ends=3 part=00000000000000aa part_id=5c1e07a2 code=part-ends-backends
time=2026-01-01T00:00:04.000Z level=INFO msg=request_end router=a-0 request=r3 account=moka model=form status=503 code=part-ends-backends verdict=not-run attempts=0 waited_ms=0 total_ms=1
`

// TestExplainShowsCrashesOfPart checks that the report on a request that was refused for a part of its prompt leads
// to the crashes that accuse that part, and not to those of another one.
func TestExplainShowsCrashesOfPart(t *testing.T) {
	var records []logread.Record
	if _, err := logread.Each(strings.NewReader(partLog), func(r logread.Record) { records = append(records, r) }); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := explain.Explain(&b, "r3", records); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]bool{"backend=form-1": true, "backend=form-2": false, "certain=true": true, "part_id=5c1e07a2": true} {
		if strings.Contains(b.String(), text) != want {
			t.Errorf("shows %s: %v\n%s", text, !want, b.String())
		}
	}
}
