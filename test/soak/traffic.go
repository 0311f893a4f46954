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
		res := response{
			ID: fmt.Sprintf("%x-%x-%x", t.seed, number, n), Kind: kinds[rng.IntN(len(kinds))], SentAt: time.Since(t.start),
			RevokedKey: rng.IntN(4) == 0,
		}
		// Submit requests need no key.
		res.RevokedKey = res.RevokedKey && res.Kind != Submit
		if res.Kind == ResumableStream {
			t.sendStream(ctx, client, rng, &res)
		} else {
			t.sendAndCheck(client, r, &res)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
	}
}

// send sends one request and records the response in res.
func (t *traffic) send(client *http.Client, address string, res *response) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	secret := key
	if res.RevokedKey {
		secret = revokedKey
	}
	// Not GET, which http.Client would retry.
	req, err := standin.NewRequest(ctx, address, host, pathOf(res.Kind), res.ID, secret, deadline)
	if err != nil {
		return
	}
	if res.Kind.isStream() {
		standin.SetParts(req, res.parts()...)
	}
	if res.Body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(res.Body)), int64(len(res.Body))
		res.Body = ""
	}
	if res.Resumes != "" {
		standin.SetResumption(req, res.Resumes, res.After)
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	res.Status = resp.StatusCode
	res.Body, res.Complete = readBody(res, resp.Body)
}

func pathOf(k Kind) string { return "/" + string(k) + "/x" }

// plantFault violates a rule on purpose, to show that the checker detects it.
func (t *traffic) plantFault(res *response) {
	switch t.plant {
	case RuleWrongBody:
		if res.Status == http.StatusOK && len(res.Body) > 0 {
			res.Body = res.Body[1:]
		}
	case RuleRefusedIdle:
		if res.Kind == Lookup {
			// No worker ran a request with this ID.
			res.ID += "-planted"
			res.Status, res.Body = http.StatusServiceUnavailable, `{"code":"busy"}`
		}
	case RuleForeignEvent:
		if res.Kind.isStream() && res.Status == http.StatusOK {
			res.Body = strings.Replace(res.Body, eventEnd, eventEnd+standin.GarbageKinds[0].Text, 1)
		}
	case RuleUnfinished:
		if res.Kind == ResumableStream {
			res.Body, _, _ = strings.Cut(res.Body, "id: 20\n")
			res.Complete = false
		}
	case RuleBarred:
		if res.Kind == Lookup {
			// No worker ran a request with this ID.
			res.ID += "-planted"
			res.Status, res.Body = http.StatusServiceUnavailable, `{"code":"ends-backends"}`
		}
	case RuleVersions:
		if res.Resumes != "" {
			res.Body = swapVersions(res.Body)
		}
	case RuleUnresumed:
		if res.Resumes != "" {
			// No worker ran a request with this ID.
			res.ID += "-planted"
			res.Status, res.Body = http.StatusServiceUnavailable, `{"code":"stream-unknown"}`
		}
	case RuleRefusedButRan:
		if res.Status == http.StatusOK {
			res.Status = http.StatusServiceUnavailable
		}
	case RuleRanTwice:
		if res.Kind == Submit && res.Status == http.StatusOK {
			repeated := *res
			t.sendToWorker(&repeated)
		}
	}
}

// swapVersions exchanges the versions in the events of a stream.
func swapVersions(body string) string {
	first, second := " "+versions[0]+eventEnd, " "+versions[1]+eventEnd
	return strings.NewReplacer(first, second, second, first).Replace(body)
}

// sendToWorker sends a request to a worker directly, as a faulty router might.
func (t *traffic) sendToWorker(res *response) {
	address := t.fleet.workers[streamWorkers].Address()
	req, err := standin.NewRequest(context.Background(), address, host, pathOf(res.Kind), res.ID, key, deadline)
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
