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

// testCA is a certificate authority with files in a temporary directory.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	next int64
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t, dir: t.TempDir(), next: 1}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
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

func (a *testCA) write(name, kind string, der []byte) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return file
}

// issue writes a certificate for the name, and its key, to files that start with base.
func (a *testCA) issue(base, name string) config.TLS {
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

func newConfig(t *testing.T, files config.TLS) *tls.Config {
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

// TestPeersVerifyRouterNames guards against accepting messages from a router whose certificate has
// another name or CA.
func TestPeersVerifyRouterNames(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	tests := map[string]struct {
		sender    config.TLS
		delivered bool
	}{
		"own name":               {ca.issue("a", "a"), true},
		"name of another router": {ca.issue("x", "x"), false},
		"unknown CA":             {otherCA.issue("a", "a"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b, address := startPeer(t, "b", newConfig(t, ca.issue("b", "b")))
			a, _ := startPeer(t, "a", newConfig(t, tc.sender))
			a.SetAddresses(map[string]string{"b": address})
			a.Send("b", &wire.TableRequest{Have: 1})
			select {
			case <-b.Inbox():
				if !tc.delivered {
					t.Error("the message was delivered")
				}
			case <-a.Losses():
				if tc.delivered {
					t.Error("the message was lost")
				}
			}
		})
	}
}

// TestCertificateReload guards against using an old certificate after its file has changed.
func TestCertificateReload(t *testing.T) {
	ca := newTestCA(t)
	files := ca.issue("a", "a")
	c := newConfig(t, files)
	first, err := c.GetCertificate(nil)
	if err != nil {
		t.Fatal(err)
	}
	ca.issue("a", "a")
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(files.Cert, later, later); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		current, err := c.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		if string(current.Certificate[0]) != string(first.Certificate[0]) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("the new certificate was not loaded")
}

// TestInvalidFiles checks that missing or inconsistent files are errors.
func TestInvalidFiles(t *testing.T) {
	ca := newTestCA(t)
	good := ca.issue("a", "a")
	for name, files := range map[string]config.TLS{
		"missing file":                {Cert: "nope", Key: "nope"},
		"key of another certificate":  {Cert: good.Cert, Key: ca.issue("b", "b").Key},
		"CA file without certificate": {Cert: good.Cert, Key: good.Key, CA: good.Key},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := tlsconf.New(files); err == nil {
				t.Error("no error for invalid files")
			}
		})
	}
}
