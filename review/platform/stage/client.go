package stage

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what became of a request.
type Answer struct {
	ID, Router string
	Sent       time.Time
	Took       time.Duration
	// Status is 0 if there was no answer.
	Status int
	Seal   string
	// Events is the number of events of a stream. Err is how the answer broke off, "" if it is whole.
	Events int
	Err    string
}

// Request is what a client sends.
type Request struct {
	Method, Host, Path, Key, Body string
	Deadline                      time.Duration
	Header                        map[string]string
}

// Clients send requests and record the answers.
type Clients struct {
	http    *http.Client
	prefix  string
	last    atomic.Int64
	mu      sync.Mutex
	answers []Answer
	pending sync.WaitGroup
}

// NewClients returns clients whose attempts have ids that begin with prefix.
func NewClients(prefix string) *Clients {
	return &Clients{prefix: prefix, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// Answers returns what became of the requests up to now.
func (c *Clients) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Answer(nil), c.answers...)
}

// Wait waits until all requests have ended.
func (c *Clients) Wait() { c.pending.Wait() }

// Send sends a request to a router in the background.
func (c *Clients) Send(router string, r Request) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		a := c.do(router, r)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
	}()
}

func (c *Clients) do(router string, r Request) Answer {
	a := Answer{ID: fmt.Sprintf("%s%06x", c.prefix, c.last.Add(1)), Router: router, Sent: time.Now()}
	defer func() { a.Took = time.Since(a.Sent) }()
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+router+r.Path, strings.NewReader(r.Body))
	if err != nil {
		a.Err = err.Error()
		return a
	}
	req.Host = r.Host
	req.Header.Set("Yarrowmast-Attempt-Id", a.ID)
	req.Header.Set("Yarrowmast-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	if r.Key != "" {
		req.Header.Set("Yarrowmast-Key", r.Key)
	}
	for name, value := range r.Header {
		req.Header.Set(name, strings.ReplaceAll(value, "{id}", a.ID))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.Seal = resp.StatusCode, resp.Header.Get("Yarrowmast-Response-Seal")
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			a.Events++
		}
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.Err = err.Error()
			return a
		}
	}
}

// Flood sends a router so many requests a second until ctx is done.
func (c *Clients) Flood(ctx context.Context, router string, perSecond float64, next func(n int) Request) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			c.Send(router, next(n))
		case <-ctx.Done():
			return
		}
	}
}
