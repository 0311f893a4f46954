// Package stage has what the scripts of this review need: a stand-in of the platform's store, of
// workers and of clients, and routers as separate processes. The stand-ins do what the platform's
// pages say. The folder is named after the platform since only such folders may use its names.
package stage

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store or one of its changes.
type item struct {
	Key      string `json:"tlsKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// pageSize is the number of items in a page of the store.
const pageSize = 500

// Store is a stand-in of the platform's store.
type Store struct {
	ln       net.Listener
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// down says that the store resets all connections and takes nothing.
	down bool
}

// NewStore starts a store on a loopback address.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{ln: ln, items: map[string]item{}, revision: 100, changed: make(chan struct{})}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }()
	return s, nil
}

// Address returns the IP address and port.
func (s *Store) Address() string { return s.ln.Addr().String() }

// Put writes a key, and reports whether the store took it. A store that is down takes nothing.
func (s *Store) Put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		return false
	}
	return s.change(func() item {
		it := item{Key: key, Value: data, Made: s.revision}
		if old, ok := s.items[key]; ok {
			it.Made = old.Made
		}
		return it
	})
}

// Delete removes a key, and reports whether the store took it.
func (s *Store) Delete(key string) bool {
	return s.change(func() item { return item{Key: key, Gone: true} })
}

func (s *Store) change(next func() item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	it := next()
	it.Revision = s.revision
	if it.Gone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// SetDown sets whether the store resets all connections and takes nothing.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	// Watches that wait are cut.
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the reading calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/kv-range":
		s.list(w, r)
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("pathPrefix"), r.FormValue("sinceRev")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageSize
	if more {
		list = list[:pageSize]
	}
	answer(w, map[string]any{"items": list, "more": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("pathPrefix")
	after, _ := strconv.ParseUint(r.FormValue("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, at, changed := s.since(prefix, after)
		if s.isDown() {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, map[string]any{"events": []item{}, "at": max(at, after)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
