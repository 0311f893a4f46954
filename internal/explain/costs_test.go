package explain_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/explain"
	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// TestCosts sums up lines of routers that change their roles, with an entry that cannot be read.
func TestCosts(t *testing.T) {
	text := `time=2026-01-01T00:00:10Z level=INFO msg=router_cost router=a role=relay period_ms=10000 processor_ms=100 memory_kb=20480 messages=200 bytes=40000 bytes_in=10000 calls=10 sent=RouterState:180:20000,Roster:20:20000
time=2026-01-01T00:00:10Z level=INFO msg=router_cost router=b role=router period_ms=10000 processor_ms=50 memory_kb=10240 messages=20 bytes=1000 bytes_in=2000 calls=0 sent=RouterState:20:1000,odd
time=2026-01-01T00:00:20Z level=INFO msg=router_cost router=b role=relay period_ms=10000 processor_ms=300 memory_kb=30720 messages=200 bytes=60000 bytes_in=10000 calls=0 sent=RouterState:200:60000
`
	var records []logread.Record
	if _, err := logread.Each(strings.NewReader(text), func(r logread.Record) { records = append(records, r) }); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := explain.Costs(&out, records); err != nil {
		t.Fatal(err)
	}
	var got [][]string
	for line := range strings.Lines(out.String()) {
		if fields := strings.Fields(line); len(fields) > 0 && (fields[0] == "relay" || fields[0] == "router") {
			got = append(got, fields)
		}
	}
	want := [][]string{
		{"relay", "2", "2.00", "3.00", "25.0", "30.0", "5.00", "6.0", "1.00", "20.0", "0.500"},
		{"router", "1", "0.50", "0.50", "10.0", "10.0", "0.10", "0.1", "0.20", "2.0", "0.000"},
		{"relay", "RouterState", "19.00", "4000.0", "210.5"},
		{"relay", "Roster", "1.00", "1000.0", "1000.0"},
		{"router", "RouterState", "2.00", "100.0", "50.0"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("costs (-want +got):\n%s", diff)
	}
	if err := explain.Costs(&out, nil); err == nil {
		t.Error("no error for logs without costs")
	}
}
