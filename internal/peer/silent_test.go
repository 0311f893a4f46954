package peer

import (
	"net"
	"syscall"
	"testing"
)

// TestSilentConnectionsAreGivenUp looks that the kernel is told when to end a connection
// of which nothing is acknowledged; loopback cannot lose what is sent.
func TestSilentConnectionsAreGivenUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := giveUpSilent(c); err != nil {
		t.Fatal(err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	if err := raw.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) }); err != nil {
		t.Fatal(err)
	}
	if got != int(unacknowledgedFor.Milliseconds()) {
		t.Errorf("given up after %d ms, want %v", got, unacknowledgedFor)
	}
	one, other := net.Pipe()
	defer func() { _, _ = one.Close(), other.Close() }()
	if err := giveUpSilent(one); err != nil {
		t.Errorf("a connection that is not the kernel's: %v", err)
	}
}
