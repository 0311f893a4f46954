// Package platform is a stand-in for the platform's read-only services: named values with revisions
// and watches, and the list of instances.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	client "github.com/yarrowmast/yarrowmast/internal/platform"
)

type value struct {
	revision uint64
	data     []byte
}

// Platform is a running stand-in.
type Platform struct {
	http *http.Server

	mu     sync.Mutex
	values map[string]value
	// stale is the snapshot of values to serve, nil if the current ones are served.
	stale   map[string]value
	down    bool
	changed chan struct{}
	calls   int64
}

// instancesName is the name of the value that holds the list of instances.
const instancesName = "instances"

// Start serves on ln until Close.
func Start(ln net.Listener) *Platform {
	p := &Platform{values: map[string]value{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", func(w http.ResponseWriter, r *http.Request) { p.get(w, r, r.PathValue("name")) })
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) { p.get(w, r, instancesName) })
	p.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.http.Serve(ln) }()
	return p
}

// Close stops the server.
func (p *Platform) Close() { _ = p.http.Close() }

// Publish sets a value and returns its revision.
func (p *Platform) Publish(name string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := value{revision: p.values[name].revision + 1, data: data}
	p.values[name] = v
	p.notify()
	return v.revision
}

// PublishInstances sets the list of instances.
func (p *Platform) PublishInstances(list []client.Instance) {
	data, err := json.Marshal(client.Instances{Instances: list})
	if err != nil {
		panic(err)
	}
	p.Publish(instancesName, data)
}

// SetDown sets whether every call fails.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notify()
}

// SetStale sets whether calls keep returning the values as of now.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if stale {
		p.stale = map[string]value{}
		for name, v := range p.values {
			p.stale[name] = v
		}
	}
	p.notify()
}

// Calls returns the number of calls received.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) read(name string) (value, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.stale != nil {
		values = p.stale
	}
	return values[name], p.down, p.changed
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request, name string) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		v, down, changed := p.read(name)
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.revision > after || waitMS == 0 && v.revision > 0 {
			w.Header().Set(client.RevisionHeader, strconv.FormatUint(v.revision, 10))
			_, _ = w.Write(v.data)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
