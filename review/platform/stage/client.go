package stage

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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
	// Kept says that it was sent on a connection that had carried another request.
	Kept bool
	// Status is 0 if there was no answer.
	Status int
	Seal   string
	// Events is the number of events of a stream, LastEvent the number of the last one. Err is how the answer broke off, "" if it is whole.
	Events    int
	LastEvent string
	Err       string
}

// Request is what a client sends.
type Request struct {
	Method, Host, Path, Key, Body string
	Deadline                      time.Duration
	Header                        map[string]string
	// BodyBytes is the size of a body that is sent within UploadTime, instead of Body.
	BodyBytes  int
	UploadTime time.Duration
}

// pieces is the number of pieces in which a large body is sent.
const pieces = 64

// body returns the body of a request and its length.
func (r *Request) body() (io.Reader, int64) {
	if r.BodyBytes == 0 {
		return strings.NewReader(r.Body), int64(len(r.Body))
	}
	return &slowBody{piece: make([]byte, r.BodyBytes/pieces), pause: r.UploadTime / pieces}, int64(r.BodyBytes / pieces * pieces)
}

// slowBody is a body of pieces, with a pause before each.
type slowBody struct {
	piece []byte
	pause time.Duration
	sent  int
	rest  []byte
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		if b.sent == pieces {
			return 0, io.EOF
		}
		time.Sleep(b.pause)
		b.sent++
		b.rest = b.piece
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
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

// Repeat sends a router requests one after the other until ctx is done.
func (c *Clients) Repeat(ctx context.Context, router string, next func(n int) Request) {
	c.pending.Add(1)
	defer c.pending.Done()
	for n := 0; ctx.Err() == nil; n++ {
		a := c.do(router, next(n))
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		if a.Status != http.StatusOK {
			time.Sleep(retryPause)
		}
	}
}

// retryPause is the time before the next request after one that was not served.
const retryPause = 250 * time.Millisecond

func (c *Clients) do(router string, r Request) (a Answer) {
	a = Answer{ID: fmt.Sprintf("%s%06x", c.prefix, c.last.Add(1)), Router: router, Sent: time.Now()}
	defer func() { a.Took = time.Since(a.Sent) }()
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.Kept = c.Reused }})
	body, length := r.body()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+router+r.Path, body)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	req.ContentLength = length
	req.Host = r.Host
	req.Header.Set("Yarrowmast-Attempt-Id", a.ID)
	req.Header.Set("Yarrowmast-Deadline-Ms", fmt.Sprint(r.Deadline.Milliseconds()))
	if r.Key != "" {
		req.Header.Set("Yarrowmast-Key", r.Key)
	}
	for name, value := range r.Header {
		req.Header.Set(name, value)
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
		if text, ok := strings.CutPrefix(line, "id:"); ok && err == nil {
			a.Events++
			a.LastEvent = strings.TrimSpace(text)
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

// Stream sends a router a request for a stream in the background, and takes the stream up at another
// router if it is broken off: after a pause, with so many tries. tries are given the answers in order.
func (c *Clients) Stream(routers []string, r Request, pause time.Duration, most int, tries func([]Answer)) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		var list []Answer
		began, last := "", ""
		for n := 0; n <= most; n++ {
			next := r
			next.Header = map[string]string{}
			for name, value := range r.Header {
				next.Header[name] = value
			}
			if began != "" {
				next.Header["Last-Event-Id"], next.Header["Resumes"] = last, began
			}
			a := c.do(routers[n%len(routers)], next)
			list = append(list, a)
			if a.Events > 0 {
				last = a.LastEvent
				if began == "" {
					began = a.ID
				}
			}
			if a.Status == http.StatusOK && a.Err == "" || began == "" {
				break
			}
			time.Sleep(pause)
		}
		c.mu.Lock()
		c.answers = append(c.answers, list...)
		c.mu.Unlock()
		tries(list)
	}()
}

// SendUntilServed sends a request in the background, and once more after each answer that promises that it
// has not run, with a new id, most times at most.
func (c *Clients) SendUntilServed(router string, r Request, most int) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		for range most {
			a := c.do(router, r)
			c.mu.Lock()
			c.answers = append(c.answers, a)
			c.mu.Unlock()
			if a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
				return
			}
			time.Sleep(retryPause)
		}
	}()
}

// Flood sends a router so many requests a second until ctx is done.
func (c *Clients) Flood(ctx context.Context, router string, perSecond float64, next func(n int) Request) {
	c.Pace(ctx, perSecond, func(n int) { c.Send(router, next(n)) })
}

// Pace calls a function so many times a second until ctx is done.
func (c *Clients) Pace(ctx context.Context, perSecond float64, send func(n int)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			send(n)
		case <-ctx.Done():
			return
		}
	}
}
