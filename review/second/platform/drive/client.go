package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host   = "forms.example"
	apiKey = "key-of-moka"
)

// clients sends requests at a steady rate, each on a new connection to a router that the balancer
// names, and tries once more after a refusal, when it is told to.
type clients struct {
	play     *play
	balancer *balancer
	method   string
	path     string
	deadline time.Duration
	headers  map[string]string
	// safe says that the requests may be repeated after any failure.
	safe bool

	next    atomic.Int64
	wait    sync.WaitGroup
	mu      sync.Mutex
	sent    []time.Time
	answers map[string]int
}

// run sends rate requests a second until the context ends.
func (c *clients) run(ctx context.Context, rate float64) {
	c.answers = map[string]int{}
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.wait.Wait()
			return
		case <-tick.C:
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				c.request()
			}()
		}
	}
}

// request sends one request, and once more after a refusal.
func (c *clients) request() {
	until := time.Now().Add(c.deadline)
	status, again := c.try(until)
	if c.safe && (status == 0 || status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable) {
		c.try(until)
		return
	}
	left := time.Until(until)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || again > left/3 {
		return
	}
	time.Sleep(again)
	c.try(until)
}

// try sends one attempt. It returns the status, 0 if there was none, and when to come back.
func (c *clients) try(until time.Time) (status int, again time.Duration) {
	id := fmt.Sprintf("c%07d", c.next.Add(1))
	r := c.balancer.pick()
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+r.callers+c.path+id, nil)
	if err != nil {
		return 0, 0
	}
	req.Host = host
	req.Header.Set("Yarrowmast-Attempt-Id", id)
	req.Header.Set("Yarrowmast-Key", apiKey)
	req.Header.Set("Yarrowmast-Deadline-Ms", strconv.FormatInt(time.Until(until).Milliseconds(), 10))
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	c.mu.Lock()
	c.sent = append(c.sent, time.Now())
	c.mu.Unlock()
	c.play.record.say("client sends %s to %s", id, r.name)
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		c.answer(id, "none")
		return 0, 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.answer(id, "cut")
		return resp.StatusCode, 0
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		again = time.Duration(seconds * float64(time.Second))
	}
	c.answer(id, strconv.Itoa(resp.StatusCode))
	return resp.StatusCode, again
}

func (c *clients) answer(id, what string) {
	c.mu.Lock()
	c.answers[what]++
	c.mu.Unlock()
	c.play.record.say("client gets %s for %s", what, id)
}

// sentTimes returns when requests were sent.
func (c *clients) sentTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.sent...)
}
