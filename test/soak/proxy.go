package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes connections on to an address on loopback, and harms them.
type proxy struct {
	ln net.Listener
	to string
	// silent holds all bytes back, slow delays each piece.
	silent, slow atomic.Bool
	mu           sync.Mutex
	conns        map[net.Conn]bool
}

// slowBy is the delay of each piece on a slow way.
const slowBy = 30 * time.Millisecond

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p := &proxy{ln: ln, to: to, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}

func (p *proxy) run() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	up, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	p.keep(c, up)
	defer p.drop(c, up)
	done := make(chan struct{}, 2)
	copyOne := func(to, from net.Conn) {
		p.copy(to, from)
		done <- struct{}{}
	}
	go copyOne(up, c)
	go copyOne(c, up)
	<-done
}

// copy passes bytes one way until the end.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if p.slow.Load() {
			time.Sleep(slowBy)
		}
		for p.silent.Load() {
			time.Sleep(slowBy)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				unlinger(to)
			}
			return
		}
	}
}

// reset resets every connection that is open.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		unlinger(c)
		_ = c.Close()
	}
}

func unlinger(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
