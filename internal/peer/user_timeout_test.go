package peer

import (
	"net"
	"syscall"
	"testing"
)

// TestUserTimeoutIsSet checks the socket option; loopback cannot lose packets.
func TestUserTimeoutIsSet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := setUserTimeout(conn); err != nil {
		t.Fatal(err)
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	if err := raw.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }); err != nil {
		t.Fatal(err)
	}
	if got != int(ackTimeout.Milliseconds()) {
		t.Errorf("TCP_USER_TIMEOUT is %d ms, want %v", got, ackTimeout)
	}
	pipeA, pipeB := net.Pipe()
	defer func() { _, _ = pipeA.Close(), pipeB.Close() }()
	if err := setUserTimeout(pipeA); err != nil {
		t.Errorf("a connection that is not a socket: %v", err)
	}
}
