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

// screenedServer serves one route, whose requests the scheduler refuses unseen or not.
func screenedServer(t testing.TB, refuse bool) (*fake, string) {
	t.Helper()
	f := &fake{t: newTable(t), results: []backend.Result{{}}}
	f.overload.Store(true)
	if refuse {
		f.screened = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share", "come back as told").WithRetryAfter(1500 * time.Millisecond)
	}
	f.t.Routes = []table.Route{
		{Name: "r", Host: "forms.example", Prefix: "/a/", TargetLatency: time.Second, Stream: true, Targets: []table.Target{{Service: "scores", Weight: 1}}},
		{Name: "p", Host: "forms.example", Prefix: "/public/", Public: true, TargetLatency: time.Second, Targets: []table.Target{{Service: "scores", Weight: 1}}},
	}
	f.t.Index()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := front.New("r", 1, f, f)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return f, ln.Addr().String()
}

// said is what a caller was told.
type said struct {
	Status int
	Fields map[string]string
	Body   string
}

// sayTo sends the pieces of a request one after the other and reads the answer.
func sayTo(t *testing.T, address string, pieces ...string) said {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
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
	s := said{Status: resp.StatusCode, Fields: map[string]string{}, Body: string(body)}
	for _, name := range []string{"Content-Type", "Retry-After", verdict.Header, backend.HeaderRequestID, "Cache-Control", "Content-Length"} {
		s.Fields[name] = resp.Header.Get(name)
	}
	if !resp.Close {
		s.Fields["Connection"] = "kept"
	}
	return s
}

// TestEarlyAnswersAreTheSame sends the same requests to a router that is short of time,
// which looks at them before its HTTP server does, and to one that is not: callers are
// told the same, and each request is screened once.
func TestEarlyAnswersAreTheSame(t *testing.T) {
	const fields = "Host: forms.example\r\n" + backend.HeaderRequestID + ": q-1\r\n" + front.HeaderDeadline + ": 8000\r\nAuthorization: Bearer secret\r\n"
	request := func(line, more, body string) string {
		return line + "\r\n" + fields + more + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	long := strings.Repeat("x", 40<<10)
	tests := map[string][]string{
		"plain":                    {request("POST /a/x HTTP/1.1", "", "body")},
		"no body":                  {"GET /a/x?q=1 HTTP/1.1\r\n" + fields + "\r\n"},
		"sizes stated":             {request("POST /a/x HTTP/1.1", front.HeaderTokens+": 1200,60\r\n", "body")},
		"sizes that are none":      {request("POST /a/x HTTP/1.1", front.HeaderTokens+": many\r\n", "body")},
		"long body":                {request("POST /a/x HTTP/1.1", "", long)},
		"longer than is drained":   {request("POST /a/x HTTP/1.1", "", long+long)},
		"body later":               {request("POST /a/x HTTP/1.1", "", long)[:600], request("POST /a/x HTTP/1.1", "", long)[600:]},
		"head in pieces":           {"POST /a/x HT", request("POST /a/x HTTP/1.1", "", "body")[12:]},
		"head in many pieces":      {"POST ", "/a/x ", "HT", request("POST /a/x HTTP/1.1", "", "body")[12:]},
		"small letters":            {"POST /a/x HTTP/1.1\r\n" + strings.ReplaceAll(fields, "Host", "host") + "content-length: 4\r\n\r\nbody"},
		"chunked":                  {"POST /a/x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"waits for a word":         {request("POST /a/x HTTP/1.1", "Expect: 100-continue\r\n", "")},
		"older protocol":           {request("POST /a/x HTTP/1.0", "", "body")},
		"key of nobody":            {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), "secret", "other", 1)},
		"no key":                   {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), "Authorization", "X-Other", 1)},
		"no id":                    {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), backend.HeaderRequestID, "X-Other", 1)},
		"a deadline that is none":  {strings.Replace(request("POST /a/x HTTP/1.1", "", "body"), "8000", "soon", 1)},
		"a deadline twice":         {request("POST /a/x HTTP/1.1", front.HeaderDeadline+": 9000\r\n", "body")},
		"public route":             {request("POST /public/x HTTP/1.1", "", "body")},
		"no route":                 {request("POST /b/x HTTP/1.1", "", "body")},
		"a field without its name": {request("POST /a/x HTTP/1.1", ": odd\r\n", "body")},
		"not HTTP":                 {"hello, this is no request at all\r\n\r\n"},
	}
	for name, pieces := range tests {
		for _, refuse := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, refused %v", name, refuse), func(t *testing.T) {
				f, address := screenedServer(t, refuse)
				want := sayTo(t, address, pieces...)
				screens := f.screens.Swap(0)
				f.hurried.Store(true)
				got := sayTo(t, address, pieces...)
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("a router short of time (+) says something else (-):\n%s", diff)
				}
				if f.screens.Load() != screens {
					t.Errorf("screened %d times, want %d", f.screens.Load(), screens)
				}
			})
		}
	}
}
