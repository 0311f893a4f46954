// Package tlsconf makes TLS configurations from files and reads the files
// again when they change, so that certificates are renewed without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/clock"
	"github.com/yarrowmast/yarrowmast/internal/config"
)

// checkEvery is how often the files' times are looked at, at most.
const checkEvery = time.Second

// ErrNoCACertificate is returned for an authority's file without a certificate.
var ErrNoCACertificate = errors.New("tlsconf: the authority's file holds no certificate")

// source is a key pair on disk and its last good reading.
type source struct {
	files config.TLS

	mu      sync.Mutex
	pair    *tls.Certificate
	changed time.Time
	checked time.Time
}

// New returns a configuration for a listener, or nil if the settings name no
// files. With an authority, the other side must show a certificate of it.
func New(files config.TLS) (*tls.Config, error) {
	if files.Cert == "" {
		return nil, nil
	}
	s := &source{files: files}
	if _, err := s.get(); err != nil {
		return nil, err
	}
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: nil,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.get()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.get()
		},
	}
	if files.CA == "" {
		return c, nil
	}
	pool, err := authority(files.CA)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.RootCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// NewClient returns a configuration for asking servers whose certificates the
// authority signed. The own key pair may be left out.
func NewClient(files config.TLS) (*tls.Config, error) {
	if files.Cert != "" {
		return New(files)
	}
	pool, err := authority(files.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

func authority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("tlsconf: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, ErrNoCACertificate
	}
	return pool, nil
}

// get returns the key pair, read anew if its file changed. A file that cannot
// be read leaves the last good pair in use.
func (s *source) get() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pair != nil && clock.System().Since(s.checked) < checkEvery {
		return s.pair, nil
	}
	s.checked = clock.System().Now()
	info, err := os.Stat(s.files.Cert)
	if err == nil && s.pair != nil && info.ModTime().Equal(s.changed) {
		return s.pair, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil || loadErr != nil {
		if s.pair != nil {
			return s.pair, nil
		}
		return nil, fmt.Errorf("tlsconf: key pair: %w", errors.Join(err, loadErr))
	}
	s.pair = &pair
	s.changed = info.ModTime()
	return s.pair, nil
}
