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

// headerSize is the size of the length prefix, a big-endian uint32.
const headerSize = 4

// initialBufferSize limits the memory that a receiver allocates for a frame before the
// sender has sent any of it.
const initialBufferSize = 64 << 10

var (
	errDialFailed = errors.New("peer: not dialing again so soon after a failed dial")
	errNoAddress  = errors.New("peer: no address known")
	errNoHello    = errors.New("peer: first message is not a Hello")
)

// ReadFrame reads one payload of at most MaxFrame bytes.
func ReadFrame(r io.Reader) ([]byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("peer: read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrame {
		return nil, fmt.Errorf("peer: frame of %d bytes exceeds the limit of %d", size, MaxFrame)
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(size, initialBufferSize)))
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
		return nil, fmt.Errorf("peer: %s supports protocol versions %d to %d, this router %d to %d",
			h.Name, h.Oldest, h.Protocol, wire.OldestProtocol, wire.Protocol)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("peer: clear deadline: %w", err)
	}
	return h, nil
}

// clientTLSConfig returns a copy of c that verifies the peer's certificate against its name.
func clientTLSConfig(c *tls.Config, peer string) *tls.Config {
	cc := c.Clone()
	cc.ServerName = peer
	return cc
}

// verifyPeerName checks that the client certificate of a TLS connection is valid for the name
// that the peer sent in its Hello.
func verifyPeerName(conn net.Conn, name string) error {
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
	return verifyCertificate(certs[0], name)
}

func verifyCertificate(c *x509.Certificate, name string) error {
	if err := c.VerifyHostname(name); err != nil {
		return fmt.Errorf("peer: certificate is not for %s: %w", name, err)
	}
	return nil
}
