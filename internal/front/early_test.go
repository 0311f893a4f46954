package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// newRoutedServer starts a server with a private and a public route. Its scheduler refuses all
// requests if refuse is set.
func newRoutedServer(t testing.TB, refuse bool) (*fake, string) {
	t.Helper()
	f := &fake{table: newTable(t), results: []backend.Result{{}}}
	f.overloaded.Store(true)
	if refuse {
		f.refusal = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share", "retry later").WithRetryAfter(1500 * time.Millisecond)
	}
	f.table.Routes = []table.Route{
		{Name: "r", Host: "forms.example", Prefix: "/a/", TargetLatency: time.Second, Stream: true, Targets: []table.Target{{Service: "scores", Weight: 1}}},
		{Name: "p", Host: "forms.example", Prefix: "/public/", Public: true, TargetLatency: time.Second, Targets: []table.Target{{Service: "scores", Weight: 1}}},
	}
	f.table.Index()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := front.New("r", 1, f, f)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return f, ln.Addr().String()
}

// receivedResponse holds the parts of a response that a test compares.
type receivedResponse struct {
	Status  int
	Headers map[string]string
	Body    string
}

// exchange sends a request in separate writes and reads the response.
func exchange(t *testing.T, address string, writes ...string) receivedResponse {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	for i, data := range writes {
		if i > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, data); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	received := receivedResponse{Status: resp.StatusCode, Headers: map[string]string{}, Body: string(body)}
	for _, name := range []string{"Content-Type", "Retry-After", verdict.Header, backend.HeaderRequestID, "Cache-Control", "Content-Length"} {
		received.Headers[name] = resp.Header.Get(name)
	}
	if !resp.Close {
		received.Headers["Connection"] = "kept"
	}
	return received
}

// TestEarlyRefusalMatchesHTTPServer guards against differences between the early check and the
// HTTP server: both must send the same response and check admission equally often.
func TestEarlyRefusalMatchesHTTPServer(t *testing.T) {
	const fields = "Host: forms.example\r\n" + backend.HeaderRequestID + ": q-1\r\n" + front.HeaderDeadline + ": 8000\r\nAuthorization: Bearer secret\r\n"
	request := func(line, extra, body string) string {
		return line + "\r\n" + fields + extra + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	long := strings.Repeat("x", 40<<10)
	tests := map[string][]string{
		"plain":                     {request("POST /a/x HTTP/1.1", "", "body")},
		"no body":                   {"GET /a/x?q=1 HTTP/1.1\r\n" + fields + "\r\n"},
		"token counts":              {request("POST /a/x HTTP/1.1", front.HeaderTokens+": 1200,60\r\n", "body")},
		"invalid token counts":      {request("POST /a/x HTTP/1.1", front.HeaderTokens+": many\r\n", "body")},
		"prompt parts":              {request("POST /a/x?q=1 HTTP/1.1", front.HeaderTokens+": 1200,60\r\n"+front.HeaderParts+": a:900,b:300\r\n", "body")},
		"invalid prompt parts":      {request("POST /a/x HTTP/1.1", front.HeaderParts+": a:many,b:300\r\n", "body")},
		"repeated prompt parts":     {request("POST /a/x HTTP/1.1", front.HeaderParts+": a:900,b:300\r\n"+front.HeaderParts+": c:1\r\n", "body")},
		"long body":                 {request("POST /a/x HTTP/1.1", "", long)},
		"body over the early limit": {request("POST /a/x HTTP/1.1", "", long+long)},
		"body in a second write":    {request("POST /a/x HTTP/1.1", "", long)[:600], request("POST /a/x HTTP/1.1", "", long)[600:]},
		"head in two writes":        {"POST /a/x HT", request("POST /a/x HTTP/1.1", "", "body")[12:]},
		"head in four writes":       {"POST ", "/a/x ", "HT", request("POST /a/x HTTP/1.1", "", "body")[12:]},
		"lower-case names":          {"POST /a/x HTTP/1.1\r\n" + strings.ReplaceAll(fields, "Host", "host") + "content-length: 4\r\n\r\nbody"},
		"chunked":                   {"POST /a/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"expects 100-continue":      {request("POST /a/x HTTP/1.1", "Expect: 100-continue\r\n", "")},
		"HTTP 1.0":                  {request("POST /a/x HTTP/1.0", "", "body")},
		"unknown key":               {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), "secret", "other", 1)},
		"no key":                    {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), "Authorization", "X-Other", 1)},
		"no id":                     {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), backend.HeaderRequestID, "X-Other", 1)},
		"invalid deadline":          {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), "8000", "soon", 1)},
		"repeated deadline":         {request("POST /a/x HTTP/1.1", front.HeaderDeadline+": 9000\r\n", "body")},
		"public route":              {request("POST /public/x HTTP/1.1", "", "body")},
		"no route":                  {request("POST /b/x HTTP/1.1", "", "body")},
		"field without a name":      {request("POST /a/x HTTP/1.1", ": odd\r\n", "body")},
		"not HTTP":                  {"hello, this is no request at all\r\n\r\n"},
	}
	for name, writes := range tests {
		for _, refuse := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, refused %v", name, refuse), func(t *testing.T) {
				f, address := newRoutedServer(t, refuse)
				want := exchange(t, address, writes...)
				checks := f.admissionChecks.Swap(0)
				f.shedding.Store(true)
				got := exchange(t, address, writes...)
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("the early refusal (+) differs from the HTTP server's response (-):\n%s", diff)
				}
				if f.admissionChecks.Load() != checks {
					t.Errorf("%d admission checks, want %d", f.admissionChecks.Load(), checks)
				}
			})
		}
	}
}

// TestLateBodyIsRefused guards against an early refusal that is logged and never sent, since the rest of the
// body does not come.
func TestLateBodyIsRefused(t *testing.T) {
	f, address := newRoutedServer(t, true)
	f.shedding.Store(true)
	const head = "POST /a/x HTTP/1.1\r\nHost: forms.example\r\n" + backend.HeaderRequestID + ": q-1\r\n" +
		front.HeaderDeadline + ": 8000\r\nAuthorization: Bearer secret\r\nContent-Length: 100\r\n\r\n"
	conn := dial(t, address)
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := io.WriteString(conn, head+"half of the body"); err != nil {
		t.Fatal(err)
	}
	if resp := readWhole(t, conn.reader); resp.StatusCode != http.StatusTooManyRequests {
		t.Errorf("status %d, want %d", resp.StatusCode, http.StatusTooManyRequests)
	}
}
