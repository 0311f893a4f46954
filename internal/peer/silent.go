package peer

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// unacknowledgedFor is for how long what was written to another router may go
	// unacknowledged before the connection is given up and dialled anew. One that has
	// fallen silent for good would else take what is written for minutes, and one that
	// was cut for 5 s is tried again by the kernel up to 6 s later only. It is twice the
	// longest interval at which routers tell each other something.
	unacknowledgedFor = 2 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482), which package syscall
	// does not name.
	tcpUserTimeout = 0x12
)

// giveUpSilent has the kernel end a connection whose other end acknowledges nothing.
// Connections that are not the kernel's, as in tests, are left as they are.
func giveUpSilent(c net.Conn) error {
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
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedFor.Milliseconds()))
	})
	if err == nil {
		err = set
	}
	if err != nil {
		return fmt.Errorf("peer: set the time that a connection may go unacknowledged: %w", err)
	}
	return nil
}
