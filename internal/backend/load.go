package backend

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// loadTimeout limits each request for a load report.
const loadTimeout = time.Second

// LoadReader reads the load reported by backend servers.
type LoadReader struct {
	dialer Dialer
	http   *http.Client
}

// NewLoadReader returns a LoadReader that dials with d.
func NewLoadReader(d Dialer) *LoadReader {
	return &LoadReader{dialer: d, http: &http.Client{
		Transport: &http.Transport{DialContext: d.DialContext},
		Timeout:   loadTimeout,
	}}
}

// loadReport is the response of an engine to GET /load.
type loadReport struct {
	InFlight int `json:"in_flight"`
}

// Load returns the number of requests in flight at a backend server. A plain service
// has no load report: Load returns 0 if the service accepts connections.
func (l *LoadReader) Load(ctx context.Context, b table.Backend) (int, error) {
	if b.Kind == table.Service {
		return 0, l.checkListening(ctx, b.Address)
	}
	req, err := sling.New().Get("http://" + b.Address + "/load").Request()
	if err != nil {
		return 0, fmt.Errorf("backend: load of %s: %w", b.Name, err)
	}
	var report loadReport
	resp, err := sling.New().Client(l.http).Do(req.WithContext(ctx), &report, nil)
	if err != nil {
		return 0, fmt.Errorf("backend: load of %s: %w", b.Name, err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("backend: load of %s: status %d", b.Name, resp.StatusCode)
	}
	return report.InFlight, nil
}

func (l *LoadReader) checkListening(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	conn, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("backend: dial %s: %w", address, err)
	}
	return conn.Close()
}

// Close closes the idle connections.
func (l *LoadReader) Close() { l.http.CloseIdleConnections() }
