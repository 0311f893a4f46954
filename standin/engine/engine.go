// Package engine is a stand-in for a model engine: it streams made-up tokens
// at a fixed rate from a number of slots and queues what is over them. It also
// plays a plain service.
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

// Config is one stand-in.
type Config struct {
	Name  string
	Slots int
	// TokensPerSecond is the rate of each slot.
	TokensPerSecond float64
	// ChunkInterval is the time between two chunks.
	ChunkInterval time.Duration
	// LoadLag is how old the reported load is.
	LoadLag  time.Duration
	Recorder *judge.Recorder
}

// RequestBody is what the stand-in reads of a request's body.
type RequestBody struct {
	// ID is the caller's own id of the request, repeated in every chunk.
	ID string `json:"load_id"`
	// Tokens is how long the answer is; the routers do not read it.
	Tokens int  `json:"load_tokens"`
	Stream bool `json:"stream"`
	// Prefix names the prompt's beginning, 0 if it is not worth a cache.
	Prefix int `json:"load_prefix"`
	// Fault asks for a bad answer: garbage, cut, crossed, two, error500,
	// refuse, or "".
	Fault string `json:"load_fault"`
}

// defaultTokens is how long an answer is that the request does not size.
const defaultTokens = 50

// Engine is a running stand-in.
type Engine struct {
	cfg   Config
	slots chan struct{}
	http  *http.Server

	mu       sync.Mutex
	inFlight int
	reported int
	readAt   time.Time
	// cached are the prefixes held, the newest last; hits and misses count.
	cached []string
	hits   int
	misses int
}

// The stand-in's cache of prefixes: how many it holds, and what a miss costs.
const (
	cacheSize = 8
	prefill   = 100 * time.Millisecond
)

// lookUp finds a prefix in the cache and puts it at its end.
func (e *Engine) lookUp(prefix string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.Index(e.cached, prefix)
	if at >= 0 {
		e.cached = append(slices.Delete(e.cached, at, at+1), prefix)
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

// CacheStats returns how many prefixes were found and how many were not.
func (e *Engine) CacheStats() (hits, misses int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits, e.misses
}

// Start serves on ln until Close.
func Start(cfg Config, ln net.Listener) *Engine {
	e := &Engine{cfg: cfg, slots: make(chan struct{}, cfg.Slots)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("/", e.plain)
	e.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.http.Serve(ln) }()
	return e
}

// Close cuts all connections.
func (e *Engine) Close() { _ = e.http.Close() }

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if time.Since(e.readAt) >= e.cfg.LoadLag {
		e.readAt = time.Now()
		e.reported = e.inFlight
	}
	n := e.reported
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int{"in_flight": n, "slots": e.cfg.Slots})
}

func (e *Engine) enter(n int) {
	e.mu.Lock()
	e.inFlight += n
	e.mu.Unlock()
	if n > 0 {
		e.cfg.Recorder.RequestArrived(e.cfg.Name)
	} else {
		e.cfg.Recorder.RequestLeft(e.cfg.Name)
	}
}

func (e *Engine) read(w http.ResponseWriter, r *http.Request) (RequestBody, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return RequestBody{}, false
	}
	var ask RequestBody
	if err := json.Unmarshal(body, &ask); err != nil {
		http.Error(w, "bad json", http.StatusBadRequest)
		return RequestBody{}, false
	}
	return ask, true
}

// take waits for a slot; beyond its slots the stand-in queues.
func (e *Engine) take(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	ask, ok := e.read(w, r)
	if !ok {
		return
	}
	e.enter(1)
	defer e.enter(-1)
	if ask.Fault == "refuse" {
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.take(r.Context()) {
		return
	}
	defer func() { <-e.slots }()
	e.cfg.Recorder.RequestStarted(ask.ID)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	account, _, _ := strings.Cut(ask.ID, ".")
	if ask.Prefix > 0 && !e.lookUp(fmt.Sprint(account, ask.Prefix)) {
		time.Sleep(prefill)
	}
	if ask.Fault == "error500" {
		http.Error(w, `{"error":{"message":"made up"}}`, http.StatusInternalServerError)
		return
	}
	if ask.Stream {
		e.stream(w, r, ask)
		return
	}
	e.whole(w, r, ask)
}

// step is how many tokens a slot makes in one step.
func (e *Engine) step() float64 { return e.cfg.TokensPerSecond * e.cfg.ChunkInterval.Seconds() }

// produce calls emit with the tokens of each step until the answer is whole.
func (e *Engine) produce(ctx context.Context, ask RequestBody, emit func(sum int) bool) {
	begun := time.Now()
	sum := 0
	if ask.Tokens == 0 {
		ask.Tokens = defaultTokens
	}
	for sum < ask.Tokens {
		due := begun.Add(time.Duration(float64(sum+e.chunk(sum, ask.Tokens)) / e.cfg.TokensPerSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		n := e.chunk(sum, ask.Tokens)
		sum += n
		e.cfg.Recorder.TokensServed(ask.ID, n)
		if !emit(sum) {
			return
		}
	}
}

func (e *Engine) chunk(sum, all int) int {
	return min(max(1, int(e.step())), all-sum)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, ask RequestBody) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Trailer", "X-Engine-Tokens")
	flush := http.NewResponseController(w)
	id := r.Header.Get("X-Request-Id")
	e.produce(r.Context(), ask, func(sum int) bool {
		if sum > ask.Tokens/2 && ask.Fault != "" {
			return e.spoil(w, ask)
		}
		_, err := fmt.Fprintf(w, "data: {\"id\":%q,\"load_id\":%q,\"choices\":[{\"text\":\"w\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", id, ask.ID, sum)
		_ = flush.Flush()
		return err == nil
	})
	if r.Context().Err() != nil {
		e.cfg.Recorder.StreamCut(e.cfg.Name)
		return
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	if ask.Fault == "two" {
		_, _ = io.WriteString(w, "data: {\"id\":\"another\",\"choices\":[{}]}\n\n")
	}
	w.Header().Set("X-Engine-Tokens", fmt.Sprint(ask.Tokens))
}

// spoil sends a bad part of an answer; it reports whether the stream goes on.
func (e *Engine) spoil(w http.ResponseWriter, ask RequestBody) bool {
	switch ask.Fault {
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

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, ask RequestBody) {
	e.produce(r.Context(), ask, func(int) bool { return true })
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":%q,"load_id":%q,"choices":[{"text":"w"}],"usage":{"completion_tokens":%d},"extra":{"kept":true}}`,
		r.Header.Get("X-Request-Id"), ask.ID, ask.Tokens)
}

// plain answers as a plain service: it counts the run and echoes the request.
func (e *Engine) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.enter(1)
	defer e.enter(-1)
	if !e.take(r.Context()) {
		return
	}
	defer func() { <-e.slots }()
	e.cfg.Recorder.RequestStarted(r.Header.Get("X-Load-Id"))
	w.Header().Set("X-Echo-Method", r.Method)
	w.Header().Set("X-Echo-Path", r.URL.RequestURI())
	_, _ = w.Write(body)
}
