package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// leaveOneIn is how rarely a caller leaves a stream in the middle, after leaveAfter events, to take it up.
	leaveOneIn = 6
	leaveAfter = 5
	// maxResumptions bounds how often a caller takes a stream up.
	maxResumptions = 6
	// resumePause is how long a caller waits after an attempt that no router answered, or that was refused.
	resumePause = 400 * time.Millisecond
)

// sendStream sends a request for a stream that may be resumed, and takes the stream up at another router for as long as
// it breaks off.
func (t *traffic) sendStream(ctx context.Context, client *http.Client, rng *rand.Rand, first *response) {
	first.Left = rng.IntN(leaveOneIn) == 0
	t.sendAndCheck(client, t.randomRouter(rng), first)
	last := *first
	for n := 1; n <= maxResumptions && last.brokeOff() && ctx.Err() == nil; n++ {
		if last.Resumes != "" && last.Status != http.StatusOK {
			time.Sleep(resumePause)
		}
		next := response{
			ID: fmt.Sprintf("%s-r%d", first.ID, n), Kind: first.Kind, SentAt: time.Since(t.start), RevokedKey: first.RevokedKey,
			Resumes: first.ID, After: last.After + last.eventCount(),
		}
		t.sendAndCheck(client, t.randomRouter(rng), &next)
		if next.eventCount() == 0 {
			// What is left of the stream stays the same.
			next.After, next.Body, next.Complete = last.After+last.eventCount(), "", false
		}
		last = next
	}
}

func (t *traffic) randomRouter(rng *rand.Rand) *router {
	return t.fleet.routers[rng.IntN(len(t.fleet.routers))]
}

func (t *traffic) sendAndCheck(client *http.Client, r *router, res *response) {
	t.send(client, r.proxy.address(), res)
	res.EndedAt = time.Since(t.start)
	t.plantFault(res)
	t.checker.add(*res)
}

// brokeOff reports whether a caller takes a stream up.
func (r *response) brokeOff() bool {
	hasEvents := r.After+r.eventCount() > 0
	return hasEvents && !r.Complete && r.After+r.eventCount() < events
}

// eventCount returns the number of complete events of a stream's response, in the order of their numbers.
func (r *response) eventCount() int {
	if r.Status != http.StatusOK {
		return 0
	}
	return countEvents(r.Body, r.After)
}

// readBody reads the body of a response, to its end or to the event after which the caller leaves.
func readBody(res *response, body io.Reader) (text string, complete bool) {
	if !res.Left {
		data, err := io.ReadAll(body)
		return string(data), err == nil
	}
	var b strings.Builder
	buf := make([]byte, 64)
	for countEvents(b.String(), res.After) < leaveAfter {
		n, err := body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			return b.String(), err == io.EOF
		}
	}
	return b.String(), false
}

// checkStreams checks what callers received of each stream over all their tries.
func (c *checker) checkStreams() []Violation {
	var list []Violation
	versionsOf, begunAt := map[string]map[string]bool{}, map[string]time.Duration{}
	for _, res := range c.responses {
		if !res.Kind.isResumable() {
			continue
		}
		root := res.ID
		if res.Resumes != "" {
			root = res.Resumes
		} else {
			begunAt[root] = res.SentAt
		}
		if versionsOf[root] == nil {
			versionsOf[root] = map[string]bool{}
		}
		maps.Copy(versionsOf[root], res.versions())
	}
	for _, root := range slices.Sorted(maps.Keys(versionsOf)) {
		if seen := slices.Sorted(maps.Keys(versionsOf[root])); len(seen) > 1 {
			list = append(list, Violation{RuleVersions, root, fmt.Sprintf("the stream holds events of versions %v", seen)})
		}
	}
	for _, res := range c.responses {
		if c.quietAt > 0 && res.Resumes != "" && begunAt[res.Resumes] > c.quietAt && res.isUnresumed() {
			list = append(list, Violation{RuleUnresumed, res.ID, "a stream that began after the last fault cannot go on: " + res.Body})
		}
	}
	return list
}

// versions returns the versions of the workers whose events a response holds.
func (r *response) versions() map[string]bool {
	seen := map[string]bool{}
	if r.Status != http.StatusOK {
		return seen
	}
	for event := range strings.SplitSeq(r.Body, eventEnd) {
		for _, v := range versions {
			if strings.HasSuffix(event, " "+v) {
				seen[v] = true
			}
		}
	}
	return seen
}

// isUnresumed reports whether a request was refused because its stream cannot go on.
func (r *response) isUnresumed() bool {
	return r.Status == http.StatusServiceUnavailable && slices.ContainsFunc([]string{"stream-unknown", "stream-service", "no-version"}, func(code string) bool {
		return strings.Contains(r.Body, `"code":"`+code+`"`)
	})
}
