package tlsconf_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/internal/tlsconf"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir(), next: 1}
	a.key = newKey(t)
	self := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, self, self, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

// issue writes a certificate for a name to files of the given base.
func (a *authority) issue(base, name string) config.TLS {
	a.t.Helper()
	a.next++
	key := newKey(a.t)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return config.TLS{
		Cert: a.write(base+".pem", "CERTIFICATE", der), Key: a.write(base+".key", "EC PRIVATE KEY", keyDER),
		CA: filepath.Join(a.dir, "ca.pem"),
	}
}

func load(t *testing.T, files config.TLS) *tls.Config {
	t.Helper()
	c, err := tlsconf.New(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func startPeer(t *testing.T, name string, c *tls.Config) (*peer.Transport, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := peer.New(name, "z", 1, ln, peer.WithTLS(c), peer.WithLogger(slog.New(slog.DiscardHandler)))
	t.Cleanup(func() { _ = n.Close() })
	return n, ln.Addr().String()
}

func TestRoutersProveTheirNames(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		sender config.TLS
		arrive bool
	}{
		"its own name":        {own.issue("a", "a"), true},
		"another's name":      {own.issue("x", "x"), false},
		"a foreign authority": {other.issue("a", "a"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b, address := startPeer(t, "b", load(t, own.issue("b", "b")))
			a, _ := startPeer(t, "a", load(t, tc.sender))
			a.SetAddresses(map[string]string{"b": address})
			a.Send("b", &wire.TableRequest{Have: 1})
			select {
			case <-b.Inbox():
				if !tc.arrive {
					t.Error("the message arrived")
				}
			case <-a.Losses():
				if tc.arrive {
					t.Error("the message was lost")
				}
			}
		})
	}
}

func TestChangedFilesAreReadAgain(t *testing.T) {
	a := newAuthority(t)
	files := a.issue("a", "a")
	c := load(t, files)
	first, err := c.GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	a.issue("a", "a")
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.Cert, later, later); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		now, err := c.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		if string(now.Certificate[0]) != string(first.Certificate[0]) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the new certificate is not in use")
}

func TestBadKeysRefuseToStart(t *testing.T) {
	a := newAuthority(t)
	good := a.issue("a", "a")
	for name, files := range map[string]config.TLS{
		"no such file":     {Cert: "nope", Key: "nope"},
		"key of another":   {Cert: good.Cert, Key: a.issue("b", "b").Key},
		"authority no PEM": {Cert: good.Cert, Key: good.Key, CA: good.Key},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := tlsconf.New(files); err == nil {
				t.Error("the files were taken")
			}
		})
	}
}
