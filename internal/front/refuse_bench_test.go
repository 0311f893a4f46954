package front_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/internal/logsink"
	"github.com/yarrowmast/yarrowmast/internal/metrics"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// BenchmarkRefusedUnseen has a caller open a connection for each request, which the
// scheduler refuses before its body is read, with the log and the metrics of a router.
// Caller and router share the process: a profile tells them apart. A router that is short
// of time refuses before its HTTP server has the connection.
func BenchmarkRefusedUnseen(b *testing.B) {
	for name, hurried := range map[string]bool{"InTime": false, "Hurried": true} {
		b.Run(name, func(b *testing.B) { benchRefused(b, hurried) })
	}
}

func benchRefused(b *testing.B, hurried bool) {
	f := &fake{t: newTable(b), results: []backend.Result{{}}}
	f.overload.Store(true)
	f.hurried.Store(hurried)
	f.screened = verdict.New(verdict.PhaseAdmit, http.StatusTooManyRequests, "over-share", "come back as told").WithRetryAfter(time.Second)
	f.t.Routes = []table.Route{{Name: "r", Host: "forms.example", Prefix: "/a/", TargetLatency: time.Second, Stream: true, Targets: []table.Target{{Service: "scores", Weight: 1}}}}
	f.t.Index()
	m, err := metrics.New("z")
	if err != nil {
		b.Fatal(err)
	}
	sink := logsink.New(io.Discard, slog.LevelInfo)
	defer sink.Close(time.Second)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := front.New("r", 1, f, f, front.WithLogger(sink.Logger()), front.WithObserver(m))
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Close() }()
	body := strings.Repeat("x", 2400)
	b.ReportAllocs()
	begun := processorTime(b)
	for i := range b.N {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: forms.example\r\n%s: %d\r\n%s: 8000\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s",
			backend.HeaderRequestID, i, front.HeaderDeadline, len(body), body)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests {
			b.Fatal(resp, err)
		}
		_ = resp.Body.Close()
		_ = conn.Close()
	}
	b.ReportMetric(float64((processorTime(b)-begun).Microseconds())/float64(b.N), "processor-us/op")
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
