package peer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// headerSize is the length prefix: four bytes, big-endian.
const headerSize = 4

// firstSize is what a frame's buffer starts at: a sender must send bytes
// before it can make a receiver set more aside.
const firstSize = 64 << 10

var (
	errDialFailed = errors.New("peer: dial failed a moment ago")
	errNoAddress  = errors.New("peer: no address known")
	errNoHello    = errors.New("peer: first message is no hello")
)

// ReadFrame reads one payload of at most MaxFrame bytes.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("peer: read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return nil, fmt.Errorf("peer: frame of %d bytes is over %d", size, MaxFrame)
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(size, firstSize)))
	if _, err := io.CopyN(buf, r, int64(size)); err != nil {
		return nil, fmt.Errorf("peer: read frame: %w", err)
	}
	return buf.Bytes(), nil
}

func writeHello(conn net.Conn, h wire.Hello) error {
	var buf bytes.Buffer
	buf.Write(make([]byte, headerSize))
	if err := wire.NewEncoder(&buf).Append(&h); err != nil {
		return err
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-headerSize))
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("peer: set deadline: %w", err)
	}
	if _, err := conn.Write(frame); err != nil {
		return fmt.Errorf("peer: write hello: %w", err)
	}
	return nil
}

func readHello(conn net.Conn) (*wire.Hello, error) {
	if err := conn.SetReadDeadline(time.Now().Add(writeTimeout)); err != nil {
		return nil, fmt.Errorf("peer: set deadline: %w", err)
	}
	payload, err := ReadFrame(conn)
	if err != nil {
		return nil, err
	}
	msgs, err := wire.NewDecoder().Decode(payload)
	if err != nil {
		return nil, err
	}
	if len(msgs) == 0 {
		return nil, errNoHello
	}
	h, ok := msgs[0].(*wire.Hello)
	if !ok {
		return nil, errNoHello
	}
	if h.Oldest > wire.Protocol || h.Protocol < wire.OldestProtocol {
		return nil, fmt.Errorf("peer: %s speaks protocol %d to %d, this router %d to %d",
			h.Name, h.Oldest, h.Protocol, wire.OldestProtocol, wire.Protocol)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("peer: clear deadline: %w", err)
	}
	return h, nil
}

// clientConfig checks that the peer's certificate is for its name.
func clientConfig(c *tls.Config, peer string) *tls.Config {
	cc := c.Clone()
	cc.ServerName = peer
	return cc
}

// nameInCertificate checks that a peer that says its name may bear it.
func nameInCertificate(conn net.Conn, name string) error {
	tc, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if err := tc.Handshake(); err != nil {
		return fmt.Errorf("peer: handshake: %w", err)
	}
	certs := tc.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return errors.New("peer: no certificate")
	}
	return certificateFor(certs[0], name)
}

func certificateFor(c *x509.Certificate, name string) error {
	if err := c.VerifyHostname(name); err != nil {
		return fmt.Errorf("peer: certificate is not for %s: %w", name, err)
	}
	return nil
}
