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
	keyRevoked = "secret-2"
	// callers is how many callers send requests, one after the other.
	callers = 24
	// deadline is how long a caller waits.
	deadline = 3 * time.Second
)

var kinds = []Kind{ResumableStream, PlainStream, Submit, Lookup}

// traffic is the callers of one run.
type traffic struct {
	fleet *fleet
	judge *checker
	seed  uint64
	start time.Time
	plant string
}

// run has the callers send requests until ctx is done.
func (t *traffic) run(ctx context.Context) {
	var tasks sync.WaitGroup
	for i := range callers {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			t.caller(ctx, i)
		}()
	}
	tasks.Wait()
}

// caller keeps its connections until they end.
func (t *traffic) caller(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(t.seed, uint64(number)+1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := t.fleet.routers[rng.IntN(len(t.fleet.routers))]
		a := response{
			ID: fmt.Sprintf("%x-%x-%x", t.seed, number, n), Kind: kinds[rng.IntN(len(kinds))], SentAt: time.Since(t.start),
			RevokedKey: rng.IntN(4) == 0,
		}
		// Who sends submit requests needs no key.
		a.RevokedKey = a.RevokedKey && a.Kind != Submit
		t.ask(client, r.front.address(), &a)
		t.spoil(&a)
		t.judge.add(a)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
	}
}

// ask sends one request and notes what came back.
func (t *traffic) ask(client *http.Client, address string, a *response) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	with := key
	if a.RevokedKey {
		with = keyRevoked
	}
	// Never GET, which the client would send again by itself.
	req, err := standin.NewRequest(ctx, address, host, pathOf(a.Kind), a.ID, with, deadline)
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

// spoil plants a fault, to show that the judge sees it.
func (t *traffic) spoil(a *response) {
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
			t.plantAgain(&again)
		}
	}
}

// plantAgain sends a request straight to a worker once more, as a faulty router
// would.
func (t *traffic) plantAgain(a *response) {
	address := t.fleet.workers[engines].Address()
	req, err := standin.NewRequest(context.Background(), address, host, pathOf(a.Kind), a.ID, key, deadline)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
