package peer

import (
	"context"
	"net"
	"time"
)

// dialed is how one try to open a connection ended.
type dialed struct {
	conn net.Conn
	err  error
}

// dialAnew opens a connection. While a try has no answer, another one is made
// each dialAgain, and the first that succeeds is taken; a refusal ends them all.
func dialAnew(ctx context.Context, d Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	tries := make(chan dialed)
	try := func() {
		go func() {
			conn, err := d.DialContext(ctx, "tcp", address)
			select {
			case tries <- dialed{conn, err}:
			case <-ctx.Done():
				if conn != nil {
					_ = conn.Close()
				}
			}
		}()
	}
	try()
	again := time.NewTicker(dialAgain)
	defer again.Stop()
	for {
		select {
		case t := <-tries:
			return t.conn, t.err
		case <-again.C:
			try()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
