// Package tlsconf creates TLS configurations from files. It reloads certificates when their files
// change, so that they can be renewed without a restart.
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

// checkInterval is the minimum time between checks for changed files.
const checkInterval = time.Second

// ErrNoCACertificate is returned for a CA file without certificates.
var ErrNoCACertificate = errors.New("tlsconf: no certificate in the CA file")

// keyPair caches the key pair from files on disk.
type keyPair struct {
	files config.TLS

	mu        sync.Mutex
	pair      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// New returns a configuration for a listener, or nil if files is empty. If there is a CA file, the
// other side must present a certificate signed by this CA.
func New(files config.TLS) (*tls.Config, error) {
	if files.Cert == "" {
		return nil, nil
	}
	keys := &keyPair{files: files}
	if _, err := keys.certificate(); err != nil {
		return nil, err
	}
	conf := &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: nil,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return keys.certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return keys.certificate()
		},
	}
	if files.CA == "" {
		return conf, nil
	}
	pool, err := loadCA(files.CA)
	if err != nil {
		return nil, err
	}
	conf.ClientCAs = pool
	conf.RootCAs = pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	return conf, nil
}

// NewClient returns a configuration for a client of servers with certificates signed by the CA.
// The key pair is optional.
func NewClient(files config.TLS) (*tls.Config, error) {
	if files.Cert != "" {
		return New(files)
	}
	pool, err := loadCA(files.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

func loadCA(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("tlsconf: CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, ErrNoCACertificate
	}
	return pool, nil
}

// certificate returns the key pair. It reloads the pair if the certificate file has changed, and
// keeps the previous one if that fails.
func (k *keyPair) certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pair != nil && clock.System().Since(k.lastCheck) < checkInterval {
		return k.pair, nil
	}
	k.lastCheck = clock.System().Now()
	info, err := os.Stat(k.files.Cert)
	if err == nil && k.pair != nil && info.ModTime().Equal(k.modTime) {
		return k.pair, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil || loadErr != nil {
		if k.pair != nil {
			return k.pair, nil
		}
		return nil, fmt.Errorf("tlsconf: load key pair: %w", errors.Join(err, loadErr))
	}
	k.pair = &pair
	k.modTime = info.ModTime()
	return k.pair, nil
}
