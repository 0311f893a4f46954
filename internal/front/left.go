package front

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasLeft reports whether the other side has closed or reset a connection, also if this process has not read all that
// came before. It asks the kernel: a process that lacks processor time learns of it from the runtime much later. It
// returns false for connections that are not sockets.
func hasLeft(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		left = err == nil && n > 0
	})
	return err == nil && left
}
