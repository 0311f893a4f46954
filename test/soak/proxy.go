package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards connections to an address on loopback, and can delay, block or reset them.
type proxy struct {
	ln     net.Listener
	target string
	// blocked holds all bytes back, slow delays each read.
	blocked, slow atomic.Bool
	mu            sync.Mutex
	conns         map[net.Conn]bool
}

// slowDelay is the delay of each read while the proxy is slow.
const slowDelay = 30 * time.Millisecond

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p := &proxy{ln: ln, target: to, conns: map[net.Conn]bool{}}
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
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	p.track(c, up)
	defer p.untrack(c, up)
	done := make(chan struct{}, 2)
	forwardOne := func(to, from net.Conn) {
		p.copy(to, from)
		done <- struct{}{}
	}
	go forwardOne(up, c)
	go forwardOne(c, up)
	<-done
}

// copy forwards bytes in one direction until the connection ends.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if p.slow.Load() {
			time.Sleep(slowDelay)
		}
		for p.blocked.Load() {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				resetOnClose(to)
			}
			return
		}
	}
}

// reset resets every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetOnClose(c)
		_ = c.Close()
	}
}

func resetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
