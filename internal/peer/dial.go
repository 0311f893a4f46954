package peer

import (
	"context"
	"net"
	"time"
)

// dialResult is the result of one attempt to open a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRetrying opens a connection. While no attempt has completed, it starts another one every
// dialRetryInterval. It returns the result of the first attempt to complete, also if that failed.
func dialRetrying(ctx context.Context, d Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan dialResult)
	dial := func() {
		go func() {
			conn, err := d.DialContext(ctx, "tcp", address)
			select {
			case results <- dialResult{conn, err}:
			case <-ctx.Done():
				if conn != nil {
					_ = conn.Close()
				}
			}
		}()
	}
	dial()
	retry := time.NewTicker(dialRetryInterval)
	defer retry.Stop()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-retry.C:
			dial()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
