package explain_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/yarrowmast/yarrowmast/internal/explain"
	"github.com/yarrowmast/yarrowmast/internal/logread"
)

// sampleLog is the log of two routers. The clock of b-0 is 5 s ahead.
const sampleLog = `
time=2026-01-01T00:00:00.000Z level=INFO msg=router_started router=a-0 zone=a
time=2026-01-01T00:00:00.100Z level=INFO msg=table_in_force router=a-0 revision=7 as_of=9 from=""
time=2026-01-01T00:00:05.102Z level=INFO msg=table_in_force router=b-0 revision=7 as_of=9 from=a-0
time=2026-01-01T00:00:01.000Z level=INFO msg=members router=a-0 live=2
time=2026-01-01T00:00:02.000Z level=INFO msg=members router=a-0 live=1
time=2026-01-01T00:00:07.500Z level=INFO msg=attempt_end router=b-0 request=r2 attempt=1 backend=form-1 why=prefix code=backend-broke
time=2026-01-01T00:00:02.600Z level=INFO msg=attempt_end router=b-0 request=r3 attempt=1 backend=form-1 why=prefix code=backend-broke
time=2026-01-01T00:00:02.700Z level=INFO msg=attempt_end router=a-0 request=r1 attempt=1 backend=form-1 why=prefix ahead=100 running=3 expected_ms=30 first_ms=-1 total_ms=150 sent=true events=0 code=backend-broke
time=2026-01-01T00:00:02.710Z level=INFO msg=request_end router=a-0 request=r1 account=moka model=form prompt=10 output=5 status=502 code=backend-broke verdict=may-have-run tokens=0 attempts=1 waited_ms=1 total_ms=200
time=2026-01-01T00:00:03.000Z level=INFO msg=members router=a-0 live=9
time=2026-01-01T00:00:04.000Z level=INFO msg=request_end router=a-0 request=r4 account=moka model=form status=200 code="" verdict=ran tokens=7 attempts=1 waited_ms=1 total_ms=40
`

// streamLog is the log of a stream that its caller takes up twice, at two routers.
const streamLog = `
time=2026-01-01T00:00:00.100Z level=INFO msg=table_in_force router=a-0 revision=7 as_of=9 from=""
time=2026-01-01T00:00:05.102Z level=INFO msg=table_in_force router=b-0 revision=7 as_of=9 from=a-0
time=2026-01-01T00:00:02.700Z level=INFO msg=attempt_end router=a-0 request=s1 attempt=1 backend=form-1 version=v1 why=prefix events=3 code=answer-cut
time=2026-01-01T00:00:02.710Z level=INFO msg=request_end router=a-0 request=s1 account=moka model=form status=502 code=answer-cut verdict=may-have-run total_ms=200
time=2026-01-01T00:00:07.900Z level=INFO msg=stream_resumed router=b-0 request=s2 resumes=s1 outcome=recorded service=form version=v1 from=10.0.0.1:7 asked=1 no_reply=0
time=2026-01-01T00:00:08.400Z level=INFO msg=attempt_end router=b-0 request=s2 attempt=1 backend=form-2 version=v1 why=prefix events=9 code=answer-cut
time=2026-01-01T00:00:08.410Z level=INFO msg=request_end router=b-0 request=s2 account=moka model=form status=502 code=answer-cut verdict=may-have-run total_ms=500 resumes=s1 after=3
time=2026-01-01T00:00:03.600Z level=INFO msg=stream_resumed router=a-0 request=s3 resumes=s1 outcome=recorded service=form version=v1 from="" asked=0 no_reply=0
time=2026-01-01T00:00:03.610Z level=INFO msg=request_end router=a-0 request=s3 account=moka model=form status=503 code=no-version verdict=not-run total_ms=10 resumes=s1 after=9
time=2026-01-01T00:00:03.700Z level=INFO msg=attempt_end router=a-0 request=other attempt=1 backend=form-2 version=v2 why=prefix events=9 code=""
`

// TestExplainStream: whichever try of the caller is asked for, all of them must be shown, with their versions.
func TestExplainStream(t *testing.T) {
	for _, id := range []string{"s1", "s2", "s3"} {
		t.Run(id, func(t *testing.T) {
			var b strings.Builder
			if err := explain.Explain(&b, id, recordsOf(t, streamLog)); err != nil {
				t.Fatal(err)
			}
			_, stream, _ := strings.Cut(b.String(), "its stream")
			stream, _, _ = strings.Cut(stream, "its lines")
			goldie.New(t).Assert(t, "stream", []byte("its stream"+stream))
		})
	}
}

func sampleRecords(t *testing.T) []logread.Record { return recordsOf(t, sampleLog) }

func recordsOf(t *testing.T, text string) []logread.Record {
	t.Helper()
	var list []logread.Record
	if _, err := logread.Each(strings.NewReader(text), func(r logread.Record) { list = append(list, r) }); err != nil {
		t.Fatal(err)
	}
	return list
}

// TestExplain guards against counting other attempts at a backend server without correcting the
// clock offset of their routers.
func TestExplain(t *testing.T) {
	for name, id := range map[string]string{"broken": "r1", "answered": "r4", "end not logged": "r2"} {
		t.Run(name, func(t *testing.T) {
			var b strings.Builder
			if err := explain.Explain(&b, id, sampleRecords(t)); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, strings.ReplaceAll(name, " ", "-"), []byte(b.String()))
		})
	}
	if err := explain.Explain(&strings.Builder{}, "nope", sampleRecords(t)); !errors.Is(err, explain.ErrNotFound) {
		t.Errorf("error %v", err)
	}
}

// TestCounts checks the table of each group and the time bounds.
func TestCounts(t *testing.T) {
	for _, by := range explain.GroupNames() {
		t.Run(by, func(t *testing.T) {
			var b strings.Builder
			if err := explain.Counts(&b, sampleRecords(t), by, time.Second, time.Time{}, time.Time{}); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, "counts-"+by, []byte(b.String()))
		})
	}
	var b strings.Builder
	if err := explain.Counts(&b, sampleRecords(t), "weather", time.Second, time.Time{}, time.Time{}); err == nil {
		t.Error("no error for an unknown group")
	}
	from := time.Date(2026, 1, 1, 0, 0, 3, 0, time.UTC)
	if err := explain.Counts(&b, sampleRecords(t), "code", time.Second, from, from.Add(time.Minute)); err != nil || strings.Contains(b.String(), "broke") {
		t.Errorf("counts from %s, error %v:\n%s", from, err, b.String())
	}
}
