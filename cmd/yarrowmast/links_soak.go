//go:build soak

package main

import (
	"context"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/node"
)

const (
	// linksVar is the environment variable with the addresses to which the soak test may cut connections, and
	// cutFileVar that with the name of a file of those to which it cuts them now, separated by spaces.
	linksVar   = "YARROWMAST_SOAK_LINKS"
	cutFileVar = "YARROWMAST_SOAK_CUT"
	// cutPollInterval is the time between two reads of the file.
	cutPollInterval = 5 * time.Millisecond
	// ackTimeout is for how long a connection to another router lives while nothing is acknowledged.
	ackTimeout = 2 * time.Second
	// linkDialTimeout bounds the opening of a connection, as in other builds.
	linkDialTimeout = time.Second
)

// linkOptions returns options that let the soak test cut connections to other routers and to the platform.
func linkOptions() []node.Option {
	file := os.Getenv(cutFileVar)
	if file == "" {
		return nil
	}
	l := &links{dialer: net.Dialer{Timeout: linkDialTimeout}, may: os.Getenv(linksVar)}
	l.now.Store(new(string))
	go l.follow(file)
	return []node.Option{node.WithDialer(l)}
}

// links dials connections that may be cut.
type links struct {
	dialer net.Dialer
	may    string
	now    atomic.Pointer[string]
}

// follow reads which connections are cut, until the process ends.
func (l *links) follow(file string) {
	for {
		if data, err := os.ReadFile(file); err == nil {
			text := string(data)
			l.now.Store(&text)
		}
		time.Sleep(cutPollInterval)
	}
}

func contains(list, address string) bool {
	for one := range strings.FieldsSeq(list) {
		if one == address {
			return true
		}
	}
	return false
}

// await waits until connections to an address are no longer cut, for the given time at most.
func (l *links) await(ctx context.Context, address string, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for contains(*l.now.Load(), address) {
		select {
		case <-ctx.Done():
			return syscall.ETIMEDOUT
		case <-time.After(cutPollInterval):
		}
	}
	return nil
}

// DialContext implements node.Dialer.
func (l *links) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !contains(l.may, address) {
		return l.dialer.DialContext(ctx, network, address)
	}
	if err := l.await(ctx, address, linkDialTimeout); err != nil {
		return nil, err
	}
	conn, err := l.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	closed, cancel := context.WithCancel(context.Background())
	return &link{TCPConn: tcp, links: l, address: address, closed: closed, cancel: cancel}, nil
}

// link is a connection that carries no bytes while it is cut, and breaks if that takes too long.
type link struct {
	*net.TCPConn
	links   *links
	address string
	closed  context.Context
	cancel  context.CancelFunc
}

// Read implements net.Conn.
func (c *link) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if cut := c.links.await(c.closed, c.address, ackTimeout); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write implements net.Conn.
func (c *link) Write(p []byte) (int, error) {
	if err := c.links.await(c.closed, c.address, ackTimeout); err != nil {
		_ = c.Close()
		return 0, err
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *link) Close() error {
	c.cancel()
	return c.TCPConn.Close()
}
