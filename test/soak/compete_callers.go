package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/admin"
	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// awaitCompeteService waits until every router serves competing requests.
func (t *traffic) awaitCompeteService() error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	limit := time.Now().Add(readyTimeout)
	probe := competitor{name: competitorName(0), prompt: 1, output: 1}
	for i, router := range t.fleet.routers {
		for n := 0; t.sendCompeting(client, router, &probe, fmt.Sprintf("narrow-%d-%d", i, n)).status != http.StatusOK; n++ {
			if time.Now().After(limit) {
				return fmt.Errorf("soak: %s did not serve %s requests", router.name, Competing)
			}
			time.Sleep(redialInterval)
		}
	}
	return nil
}

// runCompetitor sends the requests of an account at random times until ctx is done.
func (t *traffic) runCompetitor(ctx context.Context, record *competeRecord, plan competition, index int) {
	c := &plan.competitors[index]
	rng := rand.New(rand.NewPCG(t.seed, competeStream<<32|uint64(index)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpenPerCompetitor, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	open := make(chan struct{}, maxOpenPerCompetitor)
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() / c.rate(time.Since(record.start)) * float64(time.Second))):
		}
		router := t.fleet.routers[c.routers[rng.IntN(len(c.routers))]]
		open <- struct{}{}
		requests.Go(func() {
			defer func() { <-open }()
			t.tryCompeting(client, record, router, c, fmt.Sprintf("compete-%x-%d-%d", t.seed, index, n))
		})
	}
}

// maxOpenPerCompetitor bounds the open requests of an account.
const maxOpenPerCompetitor = 200

// tryCompeting sends a request, and again as its caller is told if it is refused.
func (t *traffic) tryCompeting(client *http.Client, record *competeRecord, router *router, c *competitor, id string) {
	for n := 0; n <= c.retries; n++ {
		sentAt := time.Now()
		attempt := fmt.Sprintf("%s-%d", id, n)
		res := t.sendCompeting(client, router, c, attempt)
		if res.status != 0 {
			record.addRequest(c.name, sentAt, res.first)
		}
		if !guaranteesNotRun(res.status) {
			return
		}
		record.addRefused(attempt)
		time.Sleep(res.retryAfter)
	}
}

// competeResponse is a response to a competing request.
type competeResponse struct {
	// status is 0 without a response, first the time to the first event of a stream, 0 if there is none.
	status     int
	first      time.Duration
	retryAfter time.Duration
}

// sendCompeting sends one request and reads the response to its end.
func (t *traffic) sendCompeting(client *http.Client, router *router, c *competitor, id string) competeResponse {
	ctx, cancel := context.WithTimeout(context.Background(), competeDeadline)
	defer cancel()
	req, err := standin.NewRequest(ctx, router.callersAddr, host, pathOf(Competing), id, c.key(), competeDeadline)
	if err != nil {
		return competeResponse{}
	}
	standin.SetPrompt(req, c.prompt, c.output, standin.Part{ID: fmt.Sprintf("c0%x", c.name), Tokens: c.shared}, standin.Part{ID: fmt.Sprintf("c1%x", id), Tokens: c.prompt - c.shared})
	sentAt := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return competeResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	res := competeResponse{status: resp.StatusCode, retryAfter: retryAfter(resp)}
	if resp.StatusCode == http.StatusOK {
		res.first = time.Since(sentAt)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return res
}

// maxRetryAfter bounds how long callers wait before they return.
const maxRetryAfter = competeDeadline / 3

// retryAfter returns when the caller of a refused request is told to return.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return min(seconds, maxRetryAfter)
}

const (
	// probeInterval is the time between two probes of a router, frozenAfter the time after which one that
	// does not answer counts as not running.
	probeInterval = 50 * time.Millisecond
	frozenAfter   = 300 * time.Millisecond
)

// watchFrozen probes a router's process until ctx is done, and records when it did not run.
func watchFrozen(ctx context.Context, record *competeRecord, router *router) {
	client := &http.Client{Timeout: readyTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		sentAt := time.Now()
		if resp, err := client.Get("http://" + router.adminAddr + admin.PathHealth); err == nil {
			_ = resp.Body.Close()
		}
		if now := time.Now(); now.Sub(sentAt) > frozenAfter {
			record.addFrozen(sentAt, now)
		}
		time.Sleep(probeInterval)
	}
}
