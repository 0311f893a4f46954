// Package admin serves the read-only HTTP API for operators: health, readiness, metrics and the
// status of a router as JSON.
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

// Paths of the API.
const (
	PathHealth = "/healthz"
	PathReady  = "/readyz"
	// PathReadyShort is an alias of PathReady for load balancers with a fixed path.
	PathReadyShort = "/ready"
	PathStatus     = "/v1/status"
	PathTable      = "/v1/table"
	PathBurn       = "/v1/burn"
	PathMetrics    = "/metrics"
)

const (
	headerTimeout = 5 * time.Second
	writeTimeout  = 30 * time.Second
	maxHeaderSize = 16 << 10
)

// Source provides the state of the router.
type Source interface {
	// State returns the status, which is written as JSON.
	State() any
	// Draining reports whether the router is stopping, Overloaded whether it is short of
	// time for its requests.
	Draining() bool
	Overloaded() bool
	// Table returns the table in force, or nil if there is none yet.
	Table() *table.Table
}

// Server is the HTTP server of the API.
type Server struct {
	http     *http.Server
	tls      bool
	notReady atomic.Bool
}

// MarkNotReady makes the readiness check fail, so that load balancers remove the router.
func (s *Server) MarkNotReady() { s.notReady.Store(true) }

// New returns a server for the source. burn returns the burn-rate snapshot, tlsConfig may be nil.
func New(s Source, metrics http.Handler, burn func() any, tlsConfig *tls.Config) *Server {
	server := &Server{tls: tlsConfig != nil}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, health{Healthy: true})
	})
	for _, path := range []string{PathReady, PathReadyShort} {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { server.ready(w, s) })
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
	server.http = &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxHeaderSize, TLSConfig: tlsConfig,
	}
	return server
}

type health struct {
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
}

// ready answers the readiness check of load balancers.
func (s *Server) ready(w http.ResponseWriter, source Source) {
	switch {
	case source.Table() == nil:
		writeJSON(w, http.StatusServiceUnavailable, health{Reason: "no table in force yet"})
	case s.notReady.Load() || source.Draining():
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

// Serve accepts connections on ln until Shutdown.
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

// Shutdown stops the server gracefully.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("admin: shutdown: %w", err)
	}
	return nil
}
