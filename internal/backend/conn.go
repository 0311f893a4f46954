package backend

import (
	"bufio"
	"context"
	"fmt"
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

// Bounds of connections to backend servers.
const (
	// dialTimeout bounds the opening of a connection. A lost opening packet
	// is sent again only after a second, so that it is better to dial anew.
	dialTimeout = 300 * time.Millisecond
	// idleFor is how long a connection is kept whose backend server does not
	// say how long it keeps it.
	idleFor = 4 * time.Second
	// idleMargin is how much sooner than the backend server says a connection
	// is given up, so that no request crosses its end.
	idleMargin = 700 * time.Millisecond
	// idleEach bounds the idle connections kept to one backend server.
	idleEach = 32
	// freshWithin is how recently a connection must have been used to carry a
	// request that must not run twice: a request that finds its connection
	// closed has an unknown fate.
	freshWithin = 250 * time.Millisecond
	readBuffer  = 4 << 10
	// sweepEvery is the interval at which connections that rested too long
	// are closed.
	sweepEvery = time.Second
)

// conn is one connection to a backend server. One exchange owns it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// kept says that it has carried a request before.
	kept bool
	// rested is when the last exchange ended.
	rested time.Time
	// keepFor is how long it may rest.
	keepFor time.Duration
}

// conns keeps idle connections by backend server.
type conns struct {
	dialer Dialer
	clock  *clock.Clock
	mu     sync.Mutex
	// idle are those that rest, oldest first, inUse how many carry a request.
	idle   map[string][]*conn
	inUse  map[string]int
	swept  time.Time
	closed bool
}

func newConns(d Dialer, c *clock.Clock) *conns {
	return &conns{dialer: d, clock: c, idle: map[string][]*conn{}, inUse: map[string]int{}}
}

// take returns an idle connection that is sound, or a new one. A request that
// must run once gets only one that was used a moment ago. Each that is taken is
// given back by put or drop.
func (cs *conns) take(ctx context.Context, c *Call) (*conn, error) {
	key := c.connKey()
	for {
		kept := cs.pop(key, c.NotRepeatable)
		if kept == nil {
			break
		}
		if kept.sound(cs.clock.Now()) {
			return kept, nil
		}
		cs.drop(key, kept)
	}
	cs.makeRoom(key, c.MaxConnections)
	fresh, err := cs.dial(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.inUse[key]++
	return fresh, nil
}

// makeRoom closes the connections that have rested longest, so that one more leaves
// this router within its part.
func (cs *conns) makeRoom(key string, part int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for part > 0 && len(cs.idle[key]) > 0 && len(cs.idle[key])+cs.inUse[key] >= part {
		cs.closeOldest(key)
	}
}

// closeOldest closes the connection that has rested longest. cs.mu is held.
func (cs *conns) closeOldest(key string) {
	list := cs.idle[key]
	_ = list[0].Close()
	if len(list) == 1 {
		delete(cs.idle, key)
		return
	}
	cs.idle[key] = slices.Delete(list, 0, 1)
}

// drop closes a connection that was taken.
func (cs *conns) drop(key string, c *conn) {
	_ = c.Close()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.leave(key)
}

// leave counts a connection as used no more. cs.mu is held.
func (cs *conns) leave(key string) {
	cs.inUse[key]--
	if cs.inUse[key] <= 0 {
		delete(cs.inUse, key)
	}
}

func (cs *conns) pop(key string, once bool) *conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := cs.clock.Now()
	cs.sweep(now)
	list := cs.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if once && now.Sub(c.rested) > freshWithin {
		return nil
	}
	cs.idle[key] = list[:len(list)-1]
	cs.inUse[key]++
	return c
}

// sweep closes the connections that have rested too long.
func (cs *conns) sweep(now time.Time) {
	if now.Sub(cs.swept) < sweepEvery {
		return
	}
	cs.swept = now
	for key, list := range cs.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.rested) < c.keepFor {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(cs.idle, key)
		} else {
			cs.idle[key] = kept
		}
	}
}

// put keeps a connection for the next request, in place of the one that has rested
// longest where this router has more than its part.
func (cs *conns) put(call *Call, c *conn) {
	key := call.connKey()
	c.kept = true
	c.rested = cs.clock.Now()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.leave(key)
	if cs.closed {
		_ = c.Close()
		return
	}
	cs.idle[key] = append(cs.idle[key], c)
	most := idleEach
	if call.MaxConnections > 0 {
		most = max(1, min(most, call.MaxConnections-cs.inUse[key]))
	}
	for len(cs.idle[key]) > most {
		cs.closeOldest(key)
	}
}

func (cs *conns) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := cs.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("backend: dial: %w", err)
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), keepFor: idleFor}, nil
}

// close closes the idle connections and keeps no more.
func (cs *conns) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	for _, list := range cs.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(cs.idle)
}

// sound reports whether an idle connection is still open and quiet. Bytes
// that came while it rested belong to no request.
func (c *conn) sound(now time.Time) bool {
	if now.Sub(c.rested) >= c.keepFor || c.reader.Buffered() > 0 {
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
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		quiet = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// learnKeepAlive notes how long the backend server keeps the connection.
func (c *conn) learnKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			c.keepFor = time.Duration(n)*time.Second - idleMargin
		}
	}
}
