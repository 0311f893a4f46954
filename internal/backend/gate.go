package backend

import (
	"errors"
	"net"
	"sync/atomic"
)

// errNotStarted is the gate's answer when the lease has run out.
var errNotStarted = errors.New("backend: the lease ran out before the first byte")

// gate stands before the first byte of a request. It is asked once, in the
// call that would hand that byte to the network.
type gate struct {
	may     func() bool
	opened  atomic.Bool
	refused atomic.Bool
}

// sent reports whether any byte of the request was handed to the network.
func (g *gate) sent() bool { return g.opened.Load() }

func (g *gate) pass() error {
	if g.opened.Load() {
		return nil
	}
	if g.refused.Load() || !g.may() {
		g.refused.Store(true)
		return errNotStarted
	}
	g.opened.Store(true)
	return nil
}

// gatedConn is a connection to a backend server whose writes pass the gate of
// the request that uses it.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.gate.Load(); g != nil {
		if err := g.pass(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
