package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

const (
	host       = "forms.example"
	key        = "secret-1"
	revokedKey = "secret-2"
	// callers is the number of callers. Each sends one request at a time.
	callers = 24
	// deadline is how long a caller waits for a response.
	deadline = 3 * time.Second
)

var kinds = []Kind{ResumableStream, PlainStream, Submit, Lookup}

// traffic runs the callers of one run.
type traffic struct {
	fleet   *fleet
	checker *checker
	seed    uint64
	start   time.Time
	plant   string
}

// run sends requests from all callers until ctx is done.
func (t *traffic) run(ctx context.Context) {
	var tasks sync.WaitGroup
	for i := range callers {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			t.runCaller(ctx, i)
		}()
	}
	tasks.Wait()
}

// runCaller sends requests one after the other, and reuses its connections.
func (t *traffic) runCaller(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(t.seed, uint64(number)+1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := t.fleet.routers[rng.IntN(len(t.fleet.routers))]
		a := response{
			ID: fmt.Sprintf("%x-%x-%x", t.seed, number, n), Kind: kinds[rng.IntN(len(kinds))], SentAt: time.Since(t.start),
			RevokedKey: rng.IntN(4) == 0,
		}
		// Submit requests need no key.
		a.RevokedKey = a.RevokedKey && a.Kind != Submit
		t.send(client, r.proxy.address(), &a)
		t.plantFault(&a)
		t.checker.add(a)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
	}
}

// send sends one request and records the response in a.
func (t *traffic) send(client *http.Client, address string, a *response) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	secret := key
	if a.RevokedKey {
		secret = revokedKey
	}
	// Not GET, which http.Client would retry.
	req, err := standin.NewRequest(ctx, address, host, pathOf(a.Kind), a.ID, secret, deadline)
	if err != nil {
		return
	}
	if a.Body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(a.Body)), int64(len(a.Body))
		a.Body = ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Complete = resp.StatusCode, string(body), err == nil
}

func pathOf(k Kind) string { return "/" + string(k) + "/x" }

// plantFault violates a rule on purpose, to show that the checker detects it.
func (t *traffic) plantFault(a *response) {
	switch t.plant {
	case RuleWrongBody:
		if a.Status == http.StatusOK && len(a.Body) > 0 {
			a.Body = a.Body[1:]
		}
	case RuleRefusedButRan:
		if a.Status == http.StatusOK {
			a.Status = http.StatusServiceUnavailable
		}
	case RuleRanTwice:
		if a.Kind == Submit && a.Status == http.StatusOK {
			again := *a
			t.sendToWorker(&again)
		}
	}
}

// sendToWorker sends a request to a worker directly, as a faulty router might.
func (t *traffic) sendToWorker(a *response) {
	address := t.fleet.workers[streamWorkers].Address()
	req, err := standin.NewRequest(context.Background(), address, host, pathOf(a.Kind), a.ID, key, deadline)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
