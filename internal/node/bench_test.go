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
	// unlimitedRate and stalledRate are in tokens per second: as fast as possible and
	// practically none.
	unlimitedRate = 1e9
	stalledRate   = 1e-3
)

func listen(b *testing.B) (net.Listener, string) {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return ln, ln.Addr().String()
}

// startRouterAndEngine starts a router with one stand-in engine and returns both addresses.
func startRouterAndEngine(b *testing.B, rate float64) (routed, direct string) {
	b.Helper()
	engineLn, direct := listen(b)
	verifier := judge.New()
	verifier.AddServer(judge.Server{Name: "s", Slots: benchSlots})
	e := engine.Start(engine.Config{Name: "s", Slots: benchSlots, TokensPerSecond: rate, ChunkInterval: time.Nanosecond, Recorder: verifier}, engineLn)
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
	for rate == unlimitedRate && send(routed, 1) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	return routed, direct
}

// send sends a streaming request and reads the response.
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

// BenchmarkRequest compares requests through a router with requests sent directly to the
// stand-in. Let d(n) be the difference for responses of n chunks: the router adds
// (d(201) - d(1)) / 200 per chunk.
func BenchmarkRequest(b *testing.B) {
	routed, direct := startRouterAndEngine(b, unlimitedRate)
	for _, target := range []struct{ name, address string }{{"direct", direct}, {"routed", routed}} {
		for _, chunks := range []int{1, 201} {
			b.Run(fmt.Sprintf("%s/chunks=%d", target.name, chunks), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := send(target.address, chunks); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkParallel measures the request throughput of one router.
func BenchmarkParallel(b *testing.B) {
	routed, _ := startRouterAndEngine(b, unlimitedRate)
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

// BenchmarkWaiting reports the memory of a waiting request and its connection in a router.
// The clients are plain sockets, so that they hardly add to it.
func BenchmarkWaiting(b *testing.B) {
	const waiting = 1000
	routed, _ := startRouterAndEngine(b, stalledRate)
	time.Sleep(2 * time.Second)
	body := `{"model":"m","stream":true,"load_id":"x","load_tokens":1000000000000}`
	text := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for range b.N {
		heap, stack := memoryInUse()
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
		heapAfter, stackAfter := memoryInUse()
		b.ReportMetric(float64(heapAfter-heap)/waiting, "heap-B/waiting")
		b.ReportMetric(float64(stackAfter-stack)/waiting, "stack-B/waiting")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func memoryInUse() (heap, stack uint64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.StackInuse
}
