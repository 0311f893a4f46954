package front_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// fake is a Scheduler that grants slots at once and a Backend that returns results in order,
// repeating the last one.
type fake struct {
	table      *table.Table
	results    []backend.Result
	attempts   atomic.Int64
	released   atomic.Int64
	claimErr   error
	unclaimed  atomic.Int64
	calls      chan backend.Call
	requests   chan front.Request
	overloaded atomic.Bool
	shedding   atomic.Bool
	// mayForward is the result of MayForward.
	mayForward      atomic.Bool
	admissionChecks atomic.Int64
	refusal         *verdict.Error
}

func (f *fake) Table() *table.Table           { return f.table }
func (f *fake) SpendRetry(front.Request) bool { return true }

func (f *fake) Resume(_ context.Context, r front.Resumption) (front.Continuation, error) {
	return front.Continuation{Service: r.Service}, nil
}

func (f *fake) StreamBegan(front.StreamStart) {}
func (f *fake) Overloaded() bool              { return f.overloaded.Load() }
func (f *fake) MayForward(front.Request) bool { return f.mayForward.Load() }
func (f *fake) Shedding() bool                { return f.shedding.Load() }
func (f *fake) CheckAdmission(front.Request) *verdict.Error {
	f.admissionChecks.Add(1)
	return f.refusal
}
func (f *fake) Release(front.Grant, front.Usage)         { f.released.Add(1) }
func (f *fake) Claim(context.Context, front.Claim) error { return f.claimErr }
func (f *fake) Unclaim(front.Claim)                      { f.unclaimed.Add(1) }
func (f *fake) Acquire(ctx context.Context, r front.Request) (front.Grant, error) {
	select {
	case f.requests <- r:
	default:
	}
	if time.Until(r.Deadline) < 50*time.Millisecond {
		<-ctx.Done()
		return front.Grant{}, ctx.Err()
	}
	return front.Grant{Served: &atomic.Int64{}, MayStart: func() bool { return true }}, nil
}

func (f *fake) Do(_ context.Context, call backend.Call, sink backend.Sink) backend.Result {
	n := f.attempts.Add(1)
	select {
	case f.calls <- call:
	default:
	}
	r := f.results[min(int(n)-1, len(f.results)-1)]
	if r.Err == nil {
		sink.Begin(http.StatusOK, http.Header{"Content-Type": {"application/json"}})
		_, _ = sink.Write([]byte(`{"ok":true}`))
		r.Status = http.StatusOK
	}
	return r
}

func newTable(t testing.TB) *table.Table {
	t.Helper()
	sum := sha256.Sum256([]byte("secret"))
	text := fmt.Sprintf(`
accounts: [{name: moka, weight: 1, key_sha256: %s}]
backends:
  - {name: form-1, zone: a, address: "127.0.0.1:1", models: [form], slots: 1}
  - {name: score-1, zone: a, address: "127.0.0.1:2", kind: service, models: [scores], slots: 1}
`, hex.EncodeToString(sum[:]))
	got, err := table.Parse("t.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func start(t testing.TB, f *fake, opts ...front.Option) string {
	t.Helper()
	url, _ := startServer(t, f, opts...)
	return url
}

func startServer(t testing.TB, f *fake, opts ...front.Option) (string, *front.Server) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts = append(opts, front.WithLogger(slog.New(slog.DiscardHandler)))
	s := front.New("a-0", 1, f, f, opts...)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return "http://" + ln.Addr().String(), s
}

type reply struct {
	Status  int
	Verdict string
	Code    string
}

func doRequest(t *testing.T, method, url, body string, header map[string]string) reply {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return readReply(t, req)
}

// readReply sends a request and reads the response.
func readReply(t *testing.T, req *http.Request) reply {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var p front.Problem
	if resp.StatusCode >= http.StatusBadRequest {
		if contentType := resp.Header.Get("Content-Type"); contentType != "application/problem+json" {
			t.Errorf("content type %q", contentType)
		}
		if err := json.Unmarshal(data, &p); err != nil {
			t.Errorf("body %q: %v", data, err)
		}
	}
	return reply{resp.StatusCode, resp.Header.Get(verdict.Header), p.Code}
}

// TestBadInputIsRefusedAsNotRun checks that invalid requests are refused as not run and never
// reach a backend server.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	good := `{"model":"form","prompt":"x"}`
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		want               reply
	}{
		"no key":                  {"POST", front.PathCompletions, good, map[string]string{"Authorization": "x"}, reply{401, "not-run", "no-key"}},
		"wrong key":               {"POST", front.PathCompletions, good, map[string]string{"Authorization": "Bearer nope"}, reply{403, "not-run", "wrong-key"}},
		"malformed json":          {"POST", front.PathCompletions, `{"model":`, nil, reply{400, "not-run", "bad-json"}},
		"two json values":         {"POST", front.PathCompletions, good + good, nil, reply{400, "not-run", "bad-json"}},
		"no model":                {"POST", front.PathChat, `{}`, nil, reply{400, "not-run", "bad-json"}},
		"unknown model":           {"POST", front.PathChat, `{"model":"nope"}`, nil, reply{404, "not-run", "no-such-model"}},
		"unknown service":         {"POST", "/services/nope/x", "", nil, reply{404, "not-run", "no-such-model"}},
		"unknown path":            {"GET", "/nope", "", nil, reply{404, "not-run", "no-such-path"}},
		"body over the limit":     {"POST", front.PathCompletions, strings.Repeat("x", 2000), nil, reply{413, "not-run", "body-too-large"}},
		"bad deadline":            {"POST", front.PathCompletions, good, map[string]string{front.HeaderDeadline: "soon"}, reply{400, "not-run", "bad-header"}},
		"bad priority":            {"POST", front.PathCompletions, good, map[string]string{front.HeaderPriority: "10"}, reply{400, "not-run", "bad-header"}},
		"bad not-repeatable flag": {"POST", front.PathCompletions, good, map[string]string{front.HeaderNotRepeatable: "maybe"}, reply{400, "not-run", "bad-header"}},
		"deadline passes":         {"POST", front.PathCompletions, good, map[string]string{front.HeaderDeadline: "20"}, reply{504, "not-run", "deadline"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fake{table: newTable(t), results: []backend.Result{{}}}
			url := start(t, f, front.WithMaxBody(1000))
			if diff := cmp.Diff(tc.want, doRequest(t, tc.method, url+tc.path, tc.body, tc.header)); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
			if f.attempts.Load() != 0 {
				t.Error("the request was sent to a backend server")
			}
		})
	}
}

// TestChunkedBodyThatStops guards against waiting forever for the rest of a body.
func TestChunkedBodyThatStops(t *testing.T) {
	f := &fake{table: newTable(t), results: []backend.Result{{}}}
	url := start(t, f, front.WithIOTimeout(100*time.Millisecond))
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"mod")
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(answer, []byte("400 Bad Request")) || !bytes.Contains(answer, []byte("body-cut")) || f.attempts.Load() != 0 {
		t.Errorf("response %q, attempts %d", answer, f.attempts.Load())
	}
}

func failed(phase verdict.Phase, code string, sent bool) backend.Result {
	return backend.Result{Err: verdict.New(phase, http.StatusBadGateway, code, "made up"), Sent: sent}
}

// TestRetriesFollowTheVerdict guards against retrying requests that may have run and are not
// repeatable.
func TestRetriesFollowTheVerdict(t *testing.T) {
	ok := backend.Result{}
	unreachable := failed(verdict.PhaseDial, "backend-unreachable", false)
	broken := failed(verdict.PhaseHeader, "backend-broke", true)
	tests := map[string]struct {
		results       []backend.Result
		notRepeatable string
		want          reply
		attempts      int64
	}{
		"not run is retried":              {[]backend.Result{unreachable, ok}, "true", reply{200, "ran", ""}, 2},
		"may have run is retried":         {[]backend.Result{broken, ok}, "false", reply{200, "ran", ""}, 2},
		"may have run, not repeatable":    {[]backend.Result{broken, ok}, "true", reply{502, "may-have-run", "backend-broke"}, 1},
		"an earlier attempt may have run": {[]backend.Result{broken, failed(verdict.PhaseDial, "other", false)}, "false", reply{502, "may-have-run", "other"}, 2},
		"part of the response was sent":   {[]backend.Result{{Err: broken.Err, Sent: true, Began: true}}, "false", reply{502, "may-have-run", "backend-broke"}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fake{table: newTable(t), results: tc.results}
			got := doRequest(t, "POST", start(t, f)+front.PathCompletions, `{"model":"form"}`, map[string]string{front.HeaderNotRepeatable: tc.notRepeatable})
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
			if f.attempts.Load() != tc.attempts || f.released.Load() != tc.attempts {
				t.Errorf("%d attempts, %d slots released, want %d", f.attempts.Load(), f.released.Load(), tc.attempts)
			}
		})
	}
}

// TestServicesAreNotRepeatedUnlessReadOnly guards against retrying methods that change state.
func TestServicesAreNotRepeatedUnlessReadOnly(t *testing.T) {
	for method, notRepeatable := range map[string]bool{"POST": true, "PUT": true, "DELETE": true, "GET": false} {
		t.Run(method, func(t *testing.T) {
			f := &fake{table: newTable(t), results: []backend.Result{{}}, calls: make(chan backend.Call, 1)}
			doRequest(t, method, start(t, f)+"/services/scores/game/7?a=b", "", nil)
			call := <-f.calls
			if call.NotRepeatable != notRepeatable || call.Path != "/game/7?a=b" || call.Method != method {
				t.Errorf("call %s %s, not repeatable: %v", call.Method, call.Path, call.NotRepeatable)
			}
			if call.Header.Get("Authorization") != "" {
				t.Error("the caller's key reached the backend server")
			}
		})
	}
}

// TestReservedHeadersAreDropped guards against callers setting headers that only routers may
// send to backend servers.
func TestReservedHeadersAreDropped(t *testing.T) {
	f := &fake{table: newTable(t), results: []backend.Result{{}}, calls: make(chan backend.Call, 1)}
	url := start(t, f)
	doRequest(t, "POST", url+"/services/scores/x", "", map[string]string{backend.HeaderPriority: "9", "X-Own": "kept"})
	call := <-f.calls
	if got := call.Header.Get(backend.HeaderPriority); got != "" {
		t.Errorf("the caller's %s reached the backend server: %q", backend.HeaderPriority, got)
	}
	if got := call.Header.Get("X-Own"); got != "kept" {
		t.Errorf("an unreserved header arrived as %q", got)
	}
}

// TestClaimIsReleasedWhenNothingRan guards against idempotency keys staying in use after a
// request that did not run.
func TestClaimIsReleasedWhenNothingRan(t *testing.T) {
	f := &fake{table: newTable(t), results: []backend.Result{failed(verdict.PhaseDial, "other", false)}}
	doRequest(t, "POST", start(t, f)+front.PathCompletions, `{"model":"form"}`, map[string]string{front.HeaderIdempotencyKey: "k"})
	if f.unclaimed.Load() != 1 {
		t.Errorf("claim released %d times, want 1", f.unclaimed.Load())
	}
}

// TestOverloadedRouterEndsConnections checks that responses close their connections while the
// router is overloaded.
func TestOverloadedRouterEndsConnections(t *testing.T) {
	for name, overloaded := range map[string]bool{"keeps up": false, "overloaded": true} {
		t.Run(name, func(t *testing.T) {
			f := &fake{table: newTable(t), results: []backend.Result{{}}}
			f.overloaded.Store(overloaded)
			req, err := http.NewRequest("POST", start(t, f)+"/services/scores/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer secret")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK || resp.Close != overloaded {
				t.Errorf("status %d, connection closes: %v", resp.StatusCode, resp.Close)
			}
		})
	}
}

// TestMaxWaitLeavesTimeForTheResponse checks that a routed request is refused early enough for
// the refusal to arrive within a quarter of the latency target.
func TestMaxWaitLeavesTimeForTheResponse(t *testing.T) {
	const networkTime = 10 * time.Millisecond
	for _, target := range []time.Duration{250, 300, 400, 600, 800} {
		target *= time.Millisecond
		f := &fake{table: newTable(t), results: []backend.Result{{}}, requests: make(chan front.Request, 1)}
		f.table.Routes = []table.Route{{Name: "r", Host: "forms.example", Prefix: "/a/", TargetLatency: target, Public: true, Targets: []table.Target{{Service: "scores", Weight: 1}}}}
		f.table.Index()
		url := start(t, f)
		req, err := http.NewRequest(http.MethodGet, url+"/a/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "forms.example"
		req.Header.Set(backend.HeaderRequestID, "id-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if got := (<-f.requests).MaxWait; got <= 0 || got > target/4-networkTime {
			t.Errorf("MaxWait with a target of %v is %v", target, got)
		}
	}
}

// outcomes is an Observer that collects outcomes.
type outcomes chan front.Outcome

func (o outcomes) RequestEnded(got front.Outcome) { o <- got }

// TestRefusalReportsWaitingTime guards against refused requests reporting no waiting time.
func TestRefusalReportsWaitingTime(t *testing.T) {
	observed := make(outcomes, 1)
	url := start(t, &fake{table: newTable(t), results: []backend.Result{{}}}, front.WithObserver(observed))
	doRequest(t, "POST", url+front.PathCompletions, `{"model":"form"}`, map[string]string{front.HeaderDeadline: "20"})
	if got := <-observed; got.Code != "deadline" || got.Waited <= 0 || got.Waited > got.Total {
		t.Errorf("outcome of a request that waited until its deadline: %+v", got)
	}
}
