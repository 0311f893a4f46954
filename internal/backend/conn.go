package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
)

const (
	// dialTimeout is shorter than the 1 s after which TCP resends a lost SYN, so that
	// the next attempt starts sooner.
	dialTimeout = 300 * time.Millisecond
	// defaultMaxIdle applies to backend servers that send no Keep-Alive timeout.
	defaultMaxIdle = 4 * time.Second
	// keepAliveMargin is subtracted from the Keep-Alive timeout, so that no request is
	// sent while the backend server closes the connection.
	keepAliveMargin = 700 * time.Millisecond
	// maxKeepAlive bounds the Keep-Alive timeout that is believed, in seconds.
	maxKeepAlive = 3600
	// maxIdlePerServer limits the idle connections to one backend server.
	maxIdlePerServer = 32
	readBufferSize   = 4 << 10
	// maxResponseHead is the largest status line and headers of a response, in bytes.
	maxResponseHead = 64 << 10
	// sweepInterval is the minimum time between scans for expired connections.
	sweepInterval = time.Second
)

// conn is a connection to a backend server. It carries one call at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// unread limits the bytes that may still be read from the connection.
	unread *io.LimitedReader
	// received reads from the connection and notes its end.
	received *endRecorder
	// reused is set once the connection has carried a request.
	reused bool
	// repeatsIDs is set once a response has stated the id of its request.
	repeatsIDs bool
	idleSince  time.Time
	maxIdle    time.Duration
}

// connPool holds the idle connections to backend servers, by Call.connKey.
type connPool struct {
	dialer Dialer
	clock  *clock.Clock
	mu     sync.Mutex
	// idle lists connections with the longest idle first. inUse counts those that carry
	// a call.
	idle      map[string][]*conn
	inUse     map[string]int
	lastSweep time.Time
	closed    bool
}

func newConnPool(d Dialer, c *clock.Clock) *connPool {
	return &connPool{dialer: d, clock: c, idle: map[string][]*conn{}, inUse: map[string]int{}}
}

// acquire returns a healthy idle connection or a new one. A request that must not run
// twice gets a new one: on another one, a late second response to an earlier request could
// be taken for its own, and the backend server may be closing it. The caller must pass the
// connection to release or discard.
func (p *connPool) acquire(ctx context.Context, c *Call) (*conn, error) {
	key := c.connKey()
	for !c.NotRepeatable {
		idle := p.takeIdle(key)
		if idle == nil {
			break
		}
		if idle.healthy(p.clock.Now()) {
			return idle, nil
		}
		p.discard(key, idle)
	}
	p.evictIdle(key, c.MaxConnections)
	opened, err := p.dial(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[key]++
	return opened, nil
}

// evictIdle closes the longest idle connections until one more connection stays within
// the limit; 0 means no limit.
func (p *connPool) evictIdle(key string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for limit > 0 && len(p.idle[key]) > 0 && len(p.idle[key])+p.inUse[key] >= limit {
		p.closeOldest(key)
	}
}

// closeOldest closes the longest idle connection. The caller holds p.mu.
func (p *connPool) closeOldest(key string) {
	list := p.idle[key]
	_ = list[0].Close()
	if len(list) == 1 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = slices.Delete(list, 0, 1)
}

// discard closes an acquired connection.
func (p *connPool) discard(key string, c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementInUse(key)
}

// decrementInUse requires that the caller holds p.mu.
func (p *connPool) decrementInUse(key string) {
	p.inUse[key]--
	if p.inUse[key] <= 0 {
		delete(p.inUse, key)
	}
}

func (p *connPool) takeIdle(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.closeExpired(now)
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	p.inUse[key]++
	return c
}

// closeExpired closes connections that exceed their idle time. The caller holds p.mu.
func (p *connPool) closeExpired(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
}

// release returns an acquired connection to the pool. It closes the longest idle
// connections if the pool exceeds a limit.
func (p *connPool) release(call *Call, c *conn) {
	key := call.connKey()
	c.reused = true
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementInUse(key)
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
	limit := maxIdlePerServer
	if call.MaxConnections > 0 {
		limit = max(1, min(limit, call.MaxConnections-p.inUse[key]))
	}
	for len(p.idle[key]) > limit {
		p.closeOldest(key)
	}
}

func (p *connPool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("backend: dial: %w", err)
	}
	received := &endRecorder{r: nc}
	unread := &io.LimitedReader{R: received, N: math.MaxInt64}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(unread, readBufferSize), unread: unread, received: received, maxIdle: defaultMaxIdle}, nil
}

// endRecorder is a reader that notes that its source has ended or failed.
type endRecorder struct {
	r     io.Reader
	ended bool
}

// Read implements io.Reader.
func (e *endRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	e.ended = e.ended || err != nil
	return n, err
}

// readHead reads a response up to its body. It fails if the head is larger than maxResponseHead, or has a field whose name
// is none.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.unread.N = maxResponseHead
	defer func() { c.unread.N = math.MaxInt64 }()
	resp, err := http.ReadResponse(c.reader, req)
	switch {
	case err != nil && c.unread.N == 0:
		return nil, errHeadTooLarge
	case err == nil && !hasFieldNames(resp.Header):
		return nil, errFieldName
	}
	return resp, err
}

// isMalformed reports whether reading a response failed for its bytes: the connection has not ended, and neither has
// the response.
func (c *conn) isMalformed(err error) bool {
	return !c.received.ended && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// close closes the idle connections. Connections released later are closed, too.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// healthy reports whether an idle connection is open and has no unread data. Data that
// arrived without a request must not be read as a response.
func (c *conn) healthy(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.maxIdle || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = rc.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, readErr := syscall.Read(int(fd), buf[:])
		noData = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}

// applyKeepAlive sets the idle time from the Keep-Alive header.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			c.maxIdle = time.Duration(min(n, maxKeepAlive))*time.Second - keepAliveMargin
		}
	}
}
