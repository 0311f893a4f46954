package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// streamFake is a fake whose backend server breaks each stream off after its first event.
type streamFake struct {
	*fake
	current  atomic.Pointer[table.Table]
	began    chan front.StreamStart
	acquired chan front.Request
	// beforeFirst is called before the first event, noEvent says that there is none.
	beforeFirst func()
	noEvent     bool
}

func (f *streamFake) Table() *table.Table { return f.current.Load() }

func (f *streamFake) Resume(_ context.Context, r front.Resumption) (front.Continuation, error) {
	return front.Continuation{Service: r.Service, Software: &table.Software{Version: "v1"}, Recorded: true}, nil
}

func (f *streamFake) StreamBegan(b front.StreamStart) { f.began <- b }

func (f *streamFake) Acquire(ctx context.Context, r front.Request) (front.Grant, error) {
	f.acquired <- r
	grant, err := f.fake.Acquire(ctx, r)
	grant.Backend, grant.Software = "form-1", table.Software{Version: "v1"}
	return grant, err
}

func (f *streamFake) Do(_ context.Context, call backend.Call, sink backend.Sink) backend.Result {
	broken := verdict.New(verdict.PhaseStream, http.StatusBadGateway, "answer-cut", "the stream broke off")
	if f.noEvent {
		return backend.Result{Sent: true, Err: broken}
	}
	f.beforeFirst()
	call.OnFirstByte()
	if !call.Resume {
		sink.Begin(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	}
	_, _ = sink.Write([]byte("id: 1\ndata: x\n\n"))
	_ = sink.Flush()
	return backend.Result{Sent: true, Began: true, LastEvent: 1, Err: broken}
}

// streamTable returns a table with a route whose streams may be resumed, in which the backend server runs a version.
func streamTable(t *testing.T, version string) *table.Table {
	t.Helper()
	sum := sha256.Sum256([]byte("secret"))
	got, err := table.Parse("t.yaml", fmt.Appendf(nil, `
accounts: [{name: moka, weight: 1, key_sha256: %s}]
backends: [{name: form-1, zone: a, address: "127.0.0.1:1", models: [form], slots: 1, version: %s}]
routes:
  - {name: read, host: forms.example, prefix: /read/, targets: [{service: form, weight: 1}], repeat: resume, stream: true, attempts: 2}
  - {name: once, host: forms.example, prefix: /once/, targets: [{service: form, weight: 1}], repeat: never, stream: true, attempts: 2}
`, hex.EncodeToString(sum[:]), version))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func startStreams(t *testing.T, f *streamFake) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := front.New("a-0", 1, f, f, front.WithLogger(slog.New(slog.DiscardHandler)))
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return "http://" + ln.Addr().String()
}

// TestStreamIsBoundToItsOrigin: the fleet must learn what began a stream before its caller has the first
// event, and the next attempt must ask for nothing else.
func TestStreamIsBoundToItsOrigin(t *testing.T) {
	v1, unknown := table.Software{Version: "v1"}, table.Software{Unknown: true}
	tests := map[string]struct {
		path, resumes string
		// later is the version that the backend server's row states before the first event, "" for no row.
		later   string
		noEvent bool
		began   []front.StreamStart
		bound   []*table.Software
	}{
		"begins":                {path: "/read/x", later: "v1", began: []front.StreamStart{{Account: "moka", Request: "id-1", Service: "form", Software: v1}}, bound: []*table.Software{nil, &v1}},
		"row changes meanwhile": {path: "/read/x", later: "v2", began: []front.StreamStart{{Account: "moka", Request: "id-1", Service: "form", Software: unknown}}, bound: []*table.Software{nil, &unknown}},
		"row goes meanwhile":    {path: "/read/x", began: []front.StreamStart{{Account: "moka", Request: "id-1", Service: "form", Software: v1}}, bound: []*table.Software{nil, &v1}},
		"no event":              {path: "/read/x", later: "v1", noEvent: true, bound: []*table.Software{nil, nil}},
		"taken up":              {path: "/read/x", resumes: "id-0", later: "v2", began: []front.StreamStart{{Account: "moka", Request: "id-0", Service: "form", Software: v1}}, bound: []*table.Software{&v1, &v1}},
		"no other may go on":    {path: "/once/x", later: "v1", bound: []*table.Software{nil}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &streamFake{fake: &fake{}, began: make(chan front.StreamStart, 4), acquired: make(chan front.Request, 4), noEvent: tc.noEvent}
			f.current.Store(streamTable(t, "v1"))
			f.beforeFirst = func() {
				next := streamTable(t, tc.later)
				if tc.later == "" {
					next.Backends = nil
					next.Index()
				}
				f.current.Store(next)
			}
			url := startStreams(t, f)
			req, err := http.NewRequest(http.MethodPost, url+tc.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "forms.example"
			req.Header.Set("Authorization", "Bearer secret")
			req.Header.Set(backend.HeaderRequestID, "id-1")
			if tc.resumes != "" {
				req.Header.Set(front.HeaderResumes, tc.resumes)
				req.Header.Set(front.HeaderLastEvent, "3")
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			close(f.began)
			close(f.acquired)
			var began []front.StreamStart
			for b := range f.began {
				began = append(began, b)
			}
			var bound []*table.Software
			for r := range f.acquired {
				bound = append(bound, r.Software)
			}
			if diff := cmp.Diff(tc.began, began, cmpopts.IgnoreFields(front.StreamStart{}, "Deadline")); diff != "" {
				t.Errorf("streams that began (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.bound, bound); diff != "" {
				t.Errorf("software that the attempts are bound to (-want +got):\n%s", diff)
			}
		})
	}
}
