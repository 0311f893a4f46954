package front

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether bytes have arrived on a connection that this process has not read. It returns
// false for connections that are not sockets.
func hasUnread(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	})
	return err == nil && unread > 0
}
