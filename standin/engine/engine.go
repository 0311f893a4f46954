// Package engine is a stand-in for a model engine and for a plain service. Each slot generates
// placeholder tokens at a fixed rate; requests beyond the slots wait.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/standin/judge"
)

// Config configures a stand-in.
type Config struct {
	Name  string
	Slots int
	// TokensPerSecond is the rate of one slot.
	TokensPerSecond float64
	// ChunkInterval is the time between two chunks.
	ChunkInterval time.Duration
	// LoadLag is how long a reported load is reused.
	LoadLag  time.Duration
	Recorder *judge.Recorder
}

// RequestBody is the part of a request's body that the stand-in reads.
type RequestBody struct {
	// ID is the id that the caller gave the request. Every chunk contains it.
	ID string `json:"load_id"`
	// Tokens is the length of the response. Routers do not read it.
	Tokens int  `json:"load_tokens"`
	Stream bool `json:"stream"`
	// Prefix identifies the prompt prefix, 0 if it is too short to cache.
	Prefix int `json:"load_prefix"`
	// Fault requests a faulty response: garbage, half, cut, crossed, two, error500, refuse, or "".
	Fault string `json:"load_fault"`
}

// defaultTokens is the length of the response if the request gives none.
const defaultTokens = 50

// Engine is a running stand-in.
type Engine struct {
	cfg   Config
	slots chan struct{}
	http  *http.Server

	mu           sync.Mutex
	inFlight     int
	reportedLoad int
	loadReadAt   time.Time
	// cached are the cached prefixes, the most recently used last.
	cached []string
	hits   int
	misses int
}

// The prefix cache holds cacheSize prefixes. A miss takes prefillTime.
const (
	cacheSize   = 8
	prefillTime = 100 * time.Millisecond
)

// lookUpPrefix reports whether a prefix is cached, and makes it the most recently used.
func (e *Engine) lookUpPrefix(prefix string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.cached, prefix)
	if i >= 0 {
		e.cached = append(slices.Delete(e.cached, i, i+1), prefix)
		e.hits++
		return true
	}
	e.misses++
	e.cached = append(e.cached, prefix)
	if len(e.cached) > cacheSize {
		e.cached = e.cached[1:]
	}
	return false
}

// CacheStats returns the hits and misses of the prefix cache.
func (e *Engine) CacheStats() (hits, misses int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits, e.misses
}

// Start serves on ln until Close.
func Start(cfg Config, ln net.Listener) *Engine {
	e := &Engine{cfg: cfg, slots: make(chan struct{}, cfg.Slots)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("/", e.servePlain)
	e.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.http.Serve(ln) }()
	return e
}

// Close stops the server and closes all connections.
func (e *Engine) Close() { _ = e.http.Close() }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Since(e.loadReadAt) >= e.cfg.LoadLag {
		e.loadReadAt = time.Now()
		e.reportedLoad = e.inFlight
	}
	n := e.reportedLoad
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"in_flight": n, "slots": e.cfg.Slots})
}

func (e *Engine) addInFlight(n int) {
	e.mu.Lock()
	e.inFlight += n
	e.mu.Unlock()
	if n > 0 {
		e.cfg.Recorder.RequestArrived(e.cfg.Name)
	} else {
		e.cfg.Recorder.RequestLeft(e.cfg.Name)
	}
}

func (e *Engine) readBody(w http.ResponseWriter, r *http.Request) (RequestBody, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return RequestBody{}, false
	}
	var req RequestBody
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, "bad json", http.StatusBadRequest)
		return RequestBody{}, false
	}
	return req, true
}

// acquireSlot waits for a slot. It returns false if ctx is done first.
func (e *Engine) acquireSlot(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	req, ok := e.readBody(w, r)
	if !ok {
		return
	}
	e.addInFlight(1)
	defer e.addInFlight(-1)
	if req.Fault == "refuse" {
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.acquireSlot(r.Context()) {
		return
	}
	defer func() { <-e.slots }()
	e.cfg.Recorder.RequestStarted(req.ID)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	account, _, _ := strings.Cut(req.ID, ".")
	if req.Prefix > 0 && !e.lookUpPrefix(fmt.Sprint(account, req.Prefix)) {
		time.Sleep(prefillTime)
	}
	if req.Fault == "error500" {
		http.Error(w, `{"error":{"message":"made up"}}`, http.StatusInternalServerError)
		return
	}
	if req.Stream {
		e.writeStream(w, r, req)
		return
	}
	e.writeFull(w, r, req)
}

// tokensPerChunk returns how many tokens a slot generates in one chunk interval.
func (e *Engine) tokensPerChunk() float64 {
	return e.cfg.TokensPerSecond * e.cfg.ChunkInterval.Seconds()
}

// produce calls emit with the number of tokens so far after each chunk, until the response is
// complete, emit returns false or ctx is done.
func (e *Engine) produce(ctx context.Context, req RequestBody, emit func(sum int) bool) {
	start := time.Now()
	sum := 0
	if req.Tokens == 0 {
		req.Tokens = defaultTokens
	}
	for sum < req.Tokens {
		due := start.Add(time.Duration(float64(sum+e.chunkSize(sum, req.Tokens)) / e.cfg.TokensPerSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		n := e.chunkSize(sum, req.Tokens)
		sum += n
		e.cfg.Recorder.TokensServed(req.ID, n)
		if !emit(sum) {
			return
		}
	}
}

func (e *Engine) chunkSize(sum, total int) int {
	return min(max(1, int(e.tokensPerChunk())), total-sum)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, req RequestBody) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Trailer", "X-Engine-Tokens")
	flush := http.NewResponseController(w)
	id := r.Header.Get("X-Request-Id")
	e.produce(r.Context(), req, func(sum int) bool {
		if sum > req.Tokens/2 && req.Fault != "" {
			return e.writeFault(w, req)
		}
		_, err := fmt.Fprintf(w, "data: {\"id\":%q,\"load_id\":%q,\"choices\":[{\"text\":\"w\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", id, req.ID, sum)
		_ = flush.Flush()
		return err == nil
	})
	if r.Context().Err() != nil {
		e.cfg.Recorder.StreamCut(e.cfg.Name)
		return
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	if req.Fault == "two" {
		_, _ = io.WriteString(w, "data: {\"id\":\"another\",\"choices\":[{}]}\n\n")
	}
	w.Header().Set("X-Engine-Tokens", fmt.Sprint(req.Tokens))
}

// writeFault writes a faulty part of a stream. It reports whether the stream continues.
func (e *Engine) writeFault(w http.ResponseWriter, req RequestBody) bool {
	switch req.Fault {
	case "garbage":
		_, _ = io.WriteString(w, "\x00\x01 not an event\n\n")
	case "crossed":
		_, _ = io.WriteString(w, "data: {\"id\":\"another\",\"choices\":[{}]}\n\n")
	case "half":
		_, _ = io.WriteString(w, "data: {\"id\":\"hal")
		panic(http.ErrAbortHandler)
	case "cut":
		panic(http.ErrAbortHandler)
	}
	return true
}

func (e *Engine) writeFull(w http.ResponseWriter, r *http.Request, req RequestBody) {
	e.produce(r.Context(), req, func(int) bool { return true })
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":%q,"load_id":%q,"choices":[{"text":"w"}],"usage":{"completion_tokens":%d},"extra":{"kept":true}}`,
		r.Header.Get("X-Request-Id"), req.ID, req.Tokens)
}

// servePlain responds as a plain service: it records the run and echoes the request.
func (e *Engine) servePlain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.addInFlight(1)
	defer e.addInFlight(-1)
	if !e.acquireSlot(r.Context()) {
		return
	}
	defer func() { <-e.slots }()
	e.cfg.Recorder.RequestStarted(r.Header.Get("X-Load-Id"))
	w.Header().Set("X-Echo-Method", r.Method)
	w.Header().Set("X-Echo-Path", r.URL.RequestURI())
	_, _ = w.Write(body)
}
