package main

import (
	"errors"
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// hadBegunToRead reports whether the process at the other end of a connection had read some of the last bytes that
// this end sent when it closed the connection. sent is the number of these bytes, end the error of the read at
// which this end saw the close.
//
// A connection that is closed with unread bytes is reset. So after an orderly end the process had read all that had
// arrived, which is what was acknowledged: bytes that arrive after the close never are.
func hadBegunToRead(c *net.TCPConn, sent int, end error) bool {
	if !errors.Is(end, io.EOF) && !errors.Is(end, io.ErrUnexpectedEOF) {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var unacknowledged int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { unacknowledged, ioctlErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return err == nil && ioctlErr == nil && unacknowledged < sent
}
