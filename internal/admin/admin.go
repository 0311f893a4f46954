// Package admin answers operators: health, metrics, and a read-only view of a
// router in JSON. It changes nothing.
package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// Paths of the admin listener.
const (
	PathHealth = "/healthz"
	PathReady  = "/readyz"
	// PathReadyShort is the same, for balancers that ask for no other.
	PathReadyShort = "/ready"
	PathStatus     = "/v1/status"
	PathTable      = "/v1/table"
	PathBurn       = "/v1/burn"
	PathMetrics    = "/metrics"
)

const (
	headerTimeout = 5 * time.Second
	writeTimeout  = 30 * time.Second
	maxHeader     = 16 << 10
)

// Source is what is shown.
type Source interface {
	// State returns the router's state, which is written as JSON.
	State() any
	// Draining reports whether the router is stopping, Overloaded whether it
	// cannot keep up with its requests.
	Draining() bool
	Overloaded() bool
	// Table returns the table in force, nil before there is one.
	Table() *table.Table
}

// Server is the admin listener.
type Server struct {
	http *http.Server
	// tls says that the listeners speak TLS.
	tls     bool
	leaving atomic.Bool
}

// MarkNotReady says from now on that the router is not ready.
func (s *Server) MarkNotReady() { s.leaving.Store(true) }

// New returns a server that shows the source, the metrics and the burn.
func New(s Source, metrics http.Handler, burn func() any, tlsConfig *tls.Config) *Server {
	srv := &Server{tls: tlsConfig != nil}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, health{Healthy: true})
	})
	for _, path := range []string{PathReady, PathReadyShort} {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { srv.ready(w, s) })
	}
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.State())
	})
	mux.HandleFunc("GET "+PathTable, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Table())
	})
	mux.HandleFunc("GET "+PathBurn, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, burn())
	})
	mux.Handle("GET "+PathMetrics, metrics)
	srv.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxHeader, TLSConfig: tlsConfig,
	}
	return srv
}

type health struct {
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
}

// ready tells a balancer whether to send callers here.
func (s *Server) ready(w http.ResponseWriter, source Source) {
	switch {
	case source.Table() == nil:
		writeJSON(w, http.StatusServiceUnavailable, health{Reason: "no table in force yet"})
	case s.leaving.Load() || source.Draining():
		writeJSON(w, http.StatusServiceUnavailable, health{Reason: "stopping"})
	case source.Overloaded():
		writeJSON(w, http.StatusServiceUnavailable, health{Reason: "cannot keep up"})
	default:
		writeJSON(w, http.StatusOK, health{Healthy: true})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Serve answers operators on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	var err error
	if s.tls {
		err = s.http.ServeTLS(ln, "", "")
	} else {
		err = s.http.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("admin: serve: %w", err)
}

// Shutdown ends the listener.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("admin: shutdown: %w", err)
	}
	return nil
}
