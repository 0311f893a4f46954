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

// responseTimeout bounds the wait for a response, so that an unserved connection fails the
// test.
const responseTimeout = 5 * time.Second

// withMaxConnections limits the number of connections.
func withMaxConnections(limit int) front.Option {
	c := front.DefaultCallerLimits()
	c.MaxConnections = limit
	return front.WithCallerLimits(c)
}

// caller is a caller's connection that a test keeps open.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, url string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a complete request, or only its head.
func (c *caller) send(t *testing.T, withBody bool) {
	t.Helper()
	text := "POST /services/scores/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: 2\r\n\r\n"
	if withBody {
		text += "{}"
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func (c *caller) readResponse(t *testing.T) *http.Response {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp
}

// waitClosed waits until the server has closed and stopped counting the connection.
func (c *caller) waitClosed(t *testing.T) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("reading the connection: %v, want EOF", err)
	}
}

// waitFor polls until condition holds.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(responseTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// TestIdleConnectionsKeepNobodyWaiting guards against idle connections using up the limit:
// more callers than the limit send one request each and keep their connections open.
func TestIdleConnectionsKeepNobodyWaiting(t *testing.T) {
	const limit, callers = 8, 50
	url := start(t, &fake{table: newTable(t), results: []backend.Result{{}}}, withMaxConnections(limit))
	kept := 0
	for range callers {
		c := dial(t, url)
		c.send(t, true)
		resp := c.readResponse(t)
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d", resp.StatusCode)
		}
		if !resp.Close {
			kept++
			continue
		}
		c.waitClosed(t)
	}
	if kept == 0 {
		t.Error("no connection was kept open, though half of the limit was free")
	}
}

// TestOldestIdleConnectionIsEvicted checks that, at the limit, a new connection replaces the
// one idle the longest and that requests in progress continue.
func TestOldestIdleConnectionIsEvicted(t *testing.T) {
	const limit = 4
	f := &fake{table: newTable(t), results: []backend.Result{{}}}
	url, server := startServer(t, f, withMaxConnections(limit))
	oldest := dial(t, url)
	oldest.send(t, true)
	oldest.readResponse(t)
	waitFor(t, "the connection to be idle", func() bool { return server.Connections().Idle == 1 })
	var active []*caller
	for range limit - 1 {
		c := dial(t, url)
		c.send(t, false)
		active = append(active, c)
	}
	extra := dial(t, url)
	extra.send(t, true)
	if got := extra.readResponse(t).StatusCode; got != http.StatusOK {
		t.Errorf("the extra connection got status %d", got)
	}
	oldest.waitClosed(t)
	for _, c := range active {
		if _, err := io.WriteString(c, "{}"); err != nil {
			t.Fatal(err)
		}
		if got := c.readResponse(t).StatusCode; got != http.StatusOK {
			t.Errorf("a request in progress got status %d", got)
		}
	}
}

// TestConnectionOverLimitIsRefused checks that a connection over the limit is refused while
// all others have requests, and accepted again afterwards.
func TestConnectionOverLimitIsRefused(t *testing.T) {
	const limit = 3
	f := &fake{table: newTable(t), results: []backend.Result{{}}}
	url, server := startServer(t, f, withMaxConnections(limit))
	var active []*caller
	for range limit {
		c := dial(t, url)
		c.send(t, false)
		active = append(active, c)
	}
	extra := dial(t, url)
	extra.send(t, true)
	resp := extra.readResponse(t)
	if got := server.Connections().Refused; got != 1 {
		t.Errorf("%d connections counted as refused, want 1", got)
	}
	if !server.ConnectionsFull() {
		t.Error("ConnectionsFull is false after a refused connection")
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, Retry-After %q, connection closes: %v", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
	if got := f.attempts.Load(); got != 0 {
		t.Errorf("%d attempts of a refused request", got)
	}
	for _, c := range active {
		if _, err := fmt.Fprint(c, "{}"); err != nil {
			t.Fatal(err)
		}
		c.readResponse(t)
	}
	waitFor(t, "a free connection", func() bool { return server.Connections().Open < limit })
	later := dial(t, url)
	later.send(t, true)
	if got := later.readResponse(t).StatusCode; got != http.StatusOK {
		t.Errorf("a connection below the limit got status %d", got)
	}
}

// BenchmarkConnectionMemory reports heap and stack memory per connection, of the server and
// the caller together: for idle connections and for requests with a partial body.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 1000
	head := "POST /services/scores/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n"
	for name, text := range map[string]string{
		"idle":   fmt.Sprintf(head, 2) + "{}",
		"active": fmt.Sprintf(head, 12000) + strings.Repeat("x", 11999),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				url, server := startServer(b, &fake{table: newTable(b), results: []backend.Result{{}}})
				before := memoryInUse()
				for range connections {
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
					return c.Open == connections && (name == "active" && server.OpenRequests() == connections || c.Idle == connections)
				})
				b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
			}
		})
	}
}

// memoryInUse returns the size of heap and stacks in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkRefusal measures refusals by the HTTP server, one connection for each.
func BenchmarkRefusal(b *testing.B) {
	f := &fake{table: newTable(b), results: []backend.Result{{}}, refusal: verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share", "made up")}
	f.table.Routes = []table.Route{{Name: "r", Host: "forms.example", Prefix: "/a/", Public: true, Targets: []table.Target{{Service: "scores", Weight: 1}}}}
	f.table.Index()
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
