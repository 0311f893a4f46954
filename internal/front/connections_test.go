package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// answerWithin bounds the wait for an answer in these tests: without it a
// router that leaves a connection unread would hang them.
const answerWithin = 5 * time.Second

// bounded returns what callers may do with so many connections.
func bounded(connections int) front.Option {
	c := front.DefaultCallerLimits()
	c.MaxConnections = connections
	return front.WithCallerLimits(c)
}

// caller is one connection that a test keeps open.
type caller struct {
	net.Conn
	answers *bufio.Reader
}

func dial(t *testing.T, url string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, answers: bufio.NewReader(conn)}
}

// send sends the whole of a request, or only its head with body false.
func (c *caller) send(t *testing.T, body bool) {
	t.Helper()
	text := "POST /services/scores/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 2\r\n\r\n"
	if body {
		text += "{}"
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func (c *caller) answer(t *testing.T) *http.Response {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(answerWithin)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp
}

// end waits for the end of a connection, by when the server counts it no more.
func (c *caller) end(t *testing.T) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(answerWithin)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.answers.ReadByte(); err != io.EOF {
		t.Errorf("the connection reads %v, want its end", err)
	}
}

// waitFor waits until a condition holds that other goroutines bring about.
func waitFor(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(answerWithin); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// TestIdleConnectionsKeepNobodyWaiting has more callers than there may be
// connections ask once each and leave their connections open.
func TestIdleConnectionsKeepNobodyWaiting(t *testing.T) {
	const most, callers = 8, 50
	url := start(t, &fake{t: newTable(t), results: []backend.Result{{}}}, bounded(most))
	kept := 0
	for range callers {
		c := dial(t, url)
		c.send(t, true)
		resp := c.answer(t)
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		if !resp.Close {
			kept++
			continue
		}
		c.end(t)
	}
	if kept == 0 {
		t.Error("no connection is kept, though half of the bound was free")
	}
}

// TestOldestIdleConnectionMakesRoom fills the bound with connections that are
// kept while there is room, and looks which one ends for a newcomer.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	const most = 4
	f := &fake{t: newTable(t), results: []backend.Result{{}}}
	url, server := startServer(t, f, bounded(most))
	oldest := dial(t, url)
	oldest.send(t, true)
	oldest.answer(t)
	waitFor(t, "the connection to be idle", func() bool { return server.Connections().Idle == 1 })
	var waiting []*caller
	for range most - 1 {
		c := dial(t, url)
		c.send(t, false)
		waiting = append(waiting, c)
	}
	newcomer := dial(t, url)
	newcomer.send(t, true)
	if got := newcomer.answer(t).StatusCode; got != http.StatusOK {
		t.Errorf("the newcomer got %d", got)
	}
	oldest.end(t)
	for _, c := range waiting {
		if _, err := io.WriteString(c, "{}"); err != nil {
			t.Fatal(err)
		}
		if got := c.answer(t).StatusCode; got != http.StatusOK {
			t.Errorf("a request that was under way got %d", got)
		}
	}
}

// TestNewcomerBeyondTheBoundIsRefused looks that a newcomer is told to come back
// where every connection has a request, and that this does not go on.
func TestNewcomerBeyondTheBoundIsRefused(t *testing.T) {
	const most = 3
	f := &fake{t: newTable(t), results: []backend.Result{{}}}
	url, server := startServer(t, f, bounded(most))
	var busy []*caller
	for range most {
		c := dial(t, url)
		c.send(t, false)
		busy = append(busy, c)
	}
	newcomer := dial(t, url)
	newcomer.send(t, true)
	resp := newcomer.answer(t)
	if got := server.Connections().Refused; got != 1 {
		t.Errorf("%d connections counted as refused, want 1", got)
	}
	if !server.ConnectionsFull() {
		t.Error("a router that refuses connections says that it is ready")
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, Retry-After %q, the connection ends: %v", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
	if got := f.attempts.Load(); got != 0 {
		t.Errorf("%d attempts for a refused request", got)
	}
	for _, c := range busy {
		if _, err := fmt.Fprint(c, "{}"); err != nil {
			t.Fatal(err)
		}
		c.answer(t)
	}
	waitFor(t, "room", func() bool { return server.Connections().Open < most })
	later := dial(t, url)
	later.send(t, true)
	if got := later.answer(t).StatusCode; got != http.StatusOK {
		t.Errorf("after the others were answered a newcomer got %d", got)
	}
}

// BenchmarkConnectionMemory reports what a caller's connection takes at the
// router, and at the caller's end, which is in the same process, by heap and
// stacks: idle, and with a request whose body of 12 kB has come in part.
func BenchmarkConnectionMemory(b *testing.B) {
	const many = 1000
	head := "POST /services/scores/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n"
	for name, text := range map[string]string{
		"idle":   fmt.Sprintf(head, 2) + "{}",
		"active": fmt.Sprintf(head, 12000) + strings.Repeat("x", 11999),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				url, server := startServer(b, &fake{t: newTable(b), results: []backend.Result{{}}})
				before := inUse()
				for range many {
					conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
					if err != nil {
						b.Fatal(err)
					}
					defer func() { _ = conn.Close() }()
					if _, err := io.WriteString(conn, text); err != nil {
						b.Fatal(err)
					}
				}
				waitFor(b, "the requests", func() bool {
					c := server.Connections()
					return c.Open == many && (name == "active" && server.OpenRequests() == many || c.Idle == many)
				})
				b.ReportMetric(float64(inUse()-before)/many, "B/connection")
			}
		})
	}
}

// inUse returns what heap and stacks take, in bytes.
func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkRefusal has callers with a connection each be refused unseen.
func BenchmarkRefusal(b *testing.B) {
	f := &fake{t: newTable(b), results: []backend.Result{{}}, screened: verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share", "made up")}
	f.t.Routes = []table.Route{{Name: "r", Host: "forms.example", Prefix: "/a/", Public: true, Targets: []table.Target{{Service: "scores", Weight: 1}}}}
	f.t.Index()
	url := start(b, f)
	text := "POST /a/x HTTP/1.1\r\nHost: forms.example\r\n" + backend.HeaderRequestID + ": id-1\r\nContent-Length: 12000\r\n\r\n" + strings.Repeat("x", 12000)
	buf := make([]byte, 4096)
	for b.Loop() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(buf); err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
	}
}
