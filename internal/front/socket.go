package front

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// onSocket calls do with the file descriptor of a connection. It returns false if the connection is not a socket, or is
// closed.
func onSocket(c net.Conn, do func(fd int)) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { do(int(fd)) }) == nil
}

// hasUnread reports whether bytes have arrived on a connection that this process has not read. It returns
// false for connections that are not sockets.
func hasUnread(c net.Conn) bool {
	unread := 0
	return onSocket(c, func(fd int) { unread, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) }) && unread > 0
}

// hasLeft reports whether the other side has closed or reset a connection, also if this process has not read all that
// came before. It asks the kernel: a process that lacks processor time learns of it from the runtime much later. It
// returns false for connections that are not sockets.
func hasLeft(c net.Conn) bool {
	left := false
	return onSocket(c, func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		left = err == nil && n > 0
	}) && left
}
