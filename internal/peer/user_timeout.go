package peer

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// ackTimeout is how long written data may stay unacknowledged before the kernel closes the
	// connection. By default the kernel retransmits for minutes. It is twice the longest
	// interval between messages of routers.
	ackTimeout = 2 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482), which package syscall lacks.
	tcpUserTimeout = 0x12
)

// setUserTimeout makes the kernel close the connection if the peer acknowledges nothing for
// ackTimeout. It does nothing for connections that are not sockets.
func setUserTimeout(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("peer: raw connection: %w", err)
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err == nil {
		err = set
	}
	if err != nil {
		return fmt.Errorf("peer: set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
