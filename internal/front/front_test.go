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

// fake is a scheduler that grants at once and a backend server that answers
// as it is told, one result for each attempt.
type fake struct {
	t        *table.Table
	results  []backend.Result
	attempts atomic.Int64
	released atomic.Int64
	claimErr error
	voided   atomic.Int64
	calls    chan backend.Call
	asked    chan front.Request
	overload atomic.Bool
	hurried  atomic.Bool
	// mayForward says that what is refused may be handed on.
	mayForward atomic.Bool
	screens    atomic.Int64
	screened   *verdict.Error
}

func (f *fake) Table() *table.Table           { return f.t }
func (f *fake) SpendRetry(front.Request) bool { return true }
func (f *fake) Overloaded() bool              { return f.overload.Load() }
func (f *fake) MayForward(front.Request) bool { return f.mayForward.Load() }
func (f *fake) Shedding() bool                { return f.hurried.Load() }
func (f *fake) CheckAdmission(front.Request) *verdict.Error {
	f.screens.Add(1)
	return f.screened
}
func (f *fake) Release(front.Grant, front.Usage)         { f.released.Add(1) }
func (f *fake) Claim(context.Context, front.Claim) error { return f.claimErr }
func (f *fake) Unclaim(front.Claim)                      { f.voided.Add(1) }
func (f *fake) Acquire(ctx context.Context, r front.Request) (front.Grant, error) {
	select {
	case f.asked <- r:
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

func ask(t *testing.T, method, url, body string, header map[string]string) reply {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for k, v := range header {
		req.Header.Set(k, v)
	}
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
		if kind := resp.Header.Get("Content-Type"); kind != "application/problem+json" {
			t.Errorf("content type %q", kind)
		}
		if err := json.Unmarshal(data, &p); err != nil {
			t.Errorf("body %q: %v", data, err)
		}
	}
	return reply{resp.StatusCode, resp.Header.Get(verdict.Header), p.Code}
}

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	good := `{"model":"form","prompt":"x"}`
	tests := map[string]struct {
		method, path, body string
		header             map[string]string
		want               reply
	}{
		"no key":            {"POST", front.PathCompletions, good, map[string]string{"Authorization": "x"}, reply{401, "not-run", "no-key"}},
		"wrong key":         {"POST", front.PathCompletions, good, map[string]string{"Authorization": "Bearer nope"}, reply{403, "not-run", "wrong-key"}},
		"malformed json":    {"POST", front.PathCompletions, `{"model":`, nil, reply{400, "not-run", "bad-json"}},
		"two json values":   {"POST", front.PathCompletions, good + good, nil, reply{400, "not-run", "bad-json"}},
		"no model":          {"POST", front.PathChat, `{}`, nil, reply{400, "not-run", "bad-json"}},
		"unknown model":     {"POST", front.PathChat, `{"model":"nope"}`, nil, reply{404, "not-run", "no-such-model"}},
		"unknown service":   {"POST", "/services/nope/x", "", nil, reply{404, "not-run", "no-such-model"}},
		"unknown path":      {"GET", "/nope", "", nil, reply{404, "not-run", "no-such-path"}},
		"body over the cap": {"POST", front.PathCompletions, strings.Repeat("x", 2000), nil, reply{413, "not-run", "body-too-large"}},
		"bad deadline":      {"POST", front.PathCompletions, good, map[string]string{front.HeaderDeadline: "soon"}, reply{400, "not-run", "bad-header"}},
		"bad priority":      {"POST", front.PathCompletions, good, map[string]string{front.HeaderPriority: "10"}, reply{400, "not-run", "bad-header"}},
		"bad mark":          {"POST", front.PathCompletions, good, map[string]string{front.HeaderNotRepeatable: "maybe"}, reply{400, "not-run", "bad-header"}},
		"deadline passes":   {"POST", front.PathCompletions, good, map[string]string{front.HeaderDeadline: "20"}, reply{504, "not-run", "deadline"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fake{t: newTable(t), results: []backend.Result{{}}}
			url := start(t, f, front.WithMaxBody(1000))
			if diff := cmp.Diff(tc.want, ask(t, tc.method, url+tc.path, tc.body, tc.header)); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
			if f.attempts.Load() != 0 {
				t.Error("the request was sent to a backend server")
			}
		})
	}
}

func TestChunkedBodyThatStops(t *testing.T) {
	f := &fake{t: newTable(t), results: []backend.Result{{}}}
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
		t.Errorf("answer %q, attempts %d", answer, f.attempts.Load())
	}
}

func failed(phase verdict.Phase, code string, sent bool) backend.Result {
	return backend.Result{Err: verdict.New(phase, http.StatusBadGateway, code, "made up"), Sent: sent}
}

func TestRetriesFollowTheVerdict(t *testing.T) {
	ok := backend.Result{}
	unreachable := failed(verdict.PhaseDial, "backend-unreachable", false)
	broke := failed(verdict.PhaseHeader, "backend-broke", true)
	tests := map[string]struct {
		results  []backend.Result
		once     string
		want     reply
		attempts int64
	}{
		"not run is tried again":           {[]backend.Result{unreachable, ok}, "true", reply{200, "ran", ""}, 2},
		"in doubt is tried again":          {[]backend.Result{broke, ok}, "false", reply{200, "ran", ""}, 2},
		"in doubt but not to be repeated":  {[]backend.Result{broke, ok}, "true", reply{502, "may-have-run", "backend-broke"}, 1},
		"an earlier doubt stays":           {[]backend.Result{broke, failed(verdict.PhaseDial, "other", false)}, "false", reply{502, "may-have-run", "other"}, 2},
		"part of the answer was passed on": {[]backend.Result{{Err: broke.Err, Sent: true, Began: true}}, "false", reply{502, "may-have-run", "backend-broke"}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fake{t: newTable(t), results: tc.results}
			got := ask(t, "POST", start(t, f)+front.PathCompletions, `{"model":"form"}`, map[string]string{front.HeaderNotRepeatable: tc.once})
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
			if f.attempts.Load() != tc.attempts || f.released.Load() != tc.attempts {
				t.Errorf("%d attempts, %d slots given back, want %d", f.attempts.Load(), f.released.Load(), tc.attempts)
			}
		})
	}
}

func TestServicesAreNotRepeatedUnlessReadOnly(t *testing.T) {
	for method, once := range map[string]bool{"POST": true, "PUT": true, "DELETE": true, "GET": false} {
		t.Run(method, func(t *testing.T) {
			f := &fake{t: newTable(t), results: []backend.Result{{}}, calls: make(chan backend.Call, 1)}
			ask(t, method, start(t, f)+"/services/scores/game/7?a=b", "", nil)
			call := <-f.calls
			if call.NotRepeatable != once || call.Path != "/game/7?a=b" || call.Method != method {
				t.Errorf("call %s %s, once %v", call.Method, call.Path, call.NotRepeatable)
			}
			if call.Header.Get("Authorization") != "" {
				t.Error("the caller's key was passed on")
			}
		})
	}
}

// TestReservedHeadersAreDropped has a caller of the own interface give an order
// that only the fleet may give a backend server.
func TestReservedHeadersAreDropped(t *testing.T) {
	f := &fake{t: newTable(t), results: []backend.Result{{}}, calls: make(chan backend.Call, 1)}
	url := start(t, f)
	ask(t, "POST", url+"/services/scores/x", "", map[string]string{backend.HeaderPriority: "9", "X-Own": "kept"})
	call := <-f.calls
	if got := call.Header.Get(backend.HeaderPriority); got != "" {
		t.Errorf("the caller's %s reached the backend server: %q", backend.HeaderPriority, got)
	}
	if got := call.Header.Get("X-Own"); got != "kept" {
		t.Errorf("the caller's own header is %q", got)
	}
}

func TestKeyIsTakenBackWhenNothingRan(t *testing.T) {
	f := &fake{t: newTable(t), results: []backend.Result{failed(verdict.PhaseDial, "other", false)}}
	ask(t, "POST", start(t, f)+front.PathCompletions, `{"model":"form"}`, map[string]string{front.HeaderIdempotencyKey: "k"})
	if f.voided.Load() != 1 {
		t.Errorf("taken back %d times", f.voided.Load())
	}
}

// TestOverloadedRouterEndsConnections looks that callers of a router which
// cannot keep up are sent away with their answers, and kept otherwise.
func TestOverloadedRouterEndsConnections(t *testing.T) {
	for name, overloaded := range map[string]bool{"keeps up": false, "overloaded": true} {
		t.Run(name, func(t *testing.T) {
			f := &fake{t: newTable(t), results: []backend.Result{{}}}
			f.overload.Store(overloaded)
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
				t.Errorf("status %d, the connection ends: %v", resp.StatusCode, resp.Close)
			}
		})
	}
}

// TestRefusalLeavesTimeForTheWay looks how long a routed request may wait before
// it is refused: the refusal is to reach its caller within a quarter of the
// target, and the way here and back takes more than 10 ms of that.
func TestRefusalLeavesTimeForTheWay(t *testing.T) {
	const way = 10 * time.Millisecond
	for _, target := range []time.Duration{250, 300, 400, 600, 800} {
		target *= time.Millisecond
		f := &fake{t: newTable(t), results: []backend.Result{{}}, asked: make(chan front.Request, 1)}
		f.t.Routes = []table.Route{{Name: "r", Host: "forms.example", Prefix: "/a/", TargetLatency: target, Public: true, Targets: []table.Target{{Service: "scores", Weight: 1}}}}
		f.t.Index()
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
		if got := (<-f.asked).MaxWait; got <= 0 || got > target/4-way {
			t.Errorf("a request with a target of %v may wait %v", target, got)
		}
	}
}

// outcomes keeps what an observer is told.
type outcomes chan front.Outcome

func (o outcomes) RequestEnded(got front.Outcome) { o <- got }

// TestRefusalTellsHowLongItWaited has a request wait in vain for a place.
func TestRefusalTellsHowLongItWaited(t *testing.T) {
	told := make(outcomes, 1)
	url := start(t, &fake{t: newTable(t), results: []backend.Result{{}}}, front.WithObserver(told))
	ask(t, "POST", url+front.PathCompletions, `{"model":"form"}`, map[string]string{front.HeaderDeadline: "20"})
	if got := <-told; got.Code != "deadline" || got.Waited <= 0 || got.Waited > got.Total {
		t.Errorf("a request that waited until its deadline ended as %+v", got)
	}
}
