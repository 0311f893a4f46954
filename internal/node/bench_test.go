package node_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/node"
	client "github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/internal/router"
	"github.com/yarrowmast/yarrowmast/standin/engine"
	"github.com/yarrowmast/yarrowmast/standin/judge"
	"github.com/yarrowmast/yarrowmast/standin/platform"
)

const (
	benchSlots = 64
	// benchRate makes the stand-in as fast as it goes.
	benchRate = 1e9
	// stalled makes it produce nothing.
	stalled = 1e-3
)

func listen(b *testing.B) (net.Listener, string) {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return ln, ln.Addr().String()
}

// bench starts one router before one stand-in and returns both addresses.
func bench(b *testing.B, rate float64) (routed, direct string) {
	b.Helper()
	engineLn, direct := listen(b)
	j := judge.New()
	j.AddServer(judge.Server{Name: "s", Slots: benchSlots})
	e := engine.Start(engine.Config{Name: "s", Slots: benchSlots, TokensPerSecond: rate, Step: time.Nanosecond, Judge: j}, engineLn)
	platformLn, platformAddress := listen(b)
	p := platform.Start(platformLn)
	sum := sha256.Sum256([]byte("key"))
	p.Publish(router.TableName, fmt.Appendf(nil, `
accounts: [{name: x, weight: 1, key_sha256: %s}]
backends: [{name: s, zone: z, address: %q, models: [m], slots: %d}]
`, hex.EncodeToString(sum[:]), direct, benchSlots))
	s := config.Defaults()
	s.Name, s.Zone, s.Platform = "r", "z", platformAddress
	s.Listen = config.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	n, err := node.Start(s, node.WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		b.Fatal(err)
	}
	p.PublishInstances([]client.Instance{{Name: "r", Zone: "z", Address: n.ListenAddresses().Peers, State: "live"}})
	b.Cleanup(func() {
		n.Kill()
		e.Close()
		p.Close()
	})
	routed = n.ListenAddresses().Callers
	for rate == benchRate && send(routed, 1) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return routed, direct
}

// send sends one streamed request and reads its answer.
func send(address string, tokens int) error {
	body := fmt.Sprintf(`{"model":"m","stream":true,"load_id":"x","load_tokens":%d}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// BenchmarkRequest compares a request through a router with one straight to
// the stand-in, for answers of 1 and of 201 chunks: the difference of the
// differences, over 200, is what the router adds to a chunk.
func BenchmarkRequest(b *testing.B) {
	routed, direct := bench(b, benchRate)
	for _, way := range []struct{ name, address string }{{"direct", direct}, {"routed", routed}} {
		for _, chunks := range []int{1, 201} {
			b.Run(fmt.Sprintf("%s/chunks=%d", way.name, chunks), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := send(way.address, chunks); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkParallel is how many requests a second one router passes on.
func BenchmarkParallel(b *testing.B) {
	routed, _ := bench(b, benchRate)
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = benchSlots
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := send(routed, 1); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkWaiting reports the memory that one waiting request holds at a
// router, its connection with it. The callers' ends are bare sockets.
func BenchmarkWaiting(b *testing.B) {
	const waiting = 1000
	routed, _ := bench(b, stalled)
	time.Sleep(2 * time.Second)
	body := `{"model":"m","stream":true,"load_id":"x","load_tokens":1000000000000}`
	text := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for range b.N {
		heap, stack := heldMemory()
		conns := make([]net.Conn, waiting)
		for i := range conns {
			conn, err := net.Dial("tcp", routed)
			if err != nil {
				b.Fatal(err)
			}
			conns[i] = conn
			_, _ = io.WriteString(conn, text)
		}
		time.Sleep(time.Second)
		heapAfter, stackAfter := heldMemory()
		b.ReportMetric(float64(heapAfter-heap)/waiting, "heap-B/waiting")
		b.ReportMetric(float64(stackAfter-stack)/waiting, "stack-B/waiting")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func heldMemory() (heap, stack uint64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.StackInuse
}
