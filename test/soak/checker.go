package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// Kind is a kind of request. It is also the first segment of its path.
type Kind string

// The kinds of requests.
const (
	// ResumableStream is a stream that another worker may resume.
	ResumableStream Kind = "read"
	// PlainStream is a stream that cannot be resumed.
	PlainStream Kind = "once"
	// Submit may run at most once, Lookup any number of times.
	Submit Kind = "submit"
	Lookup Kind = "look"
)

// repeatable reports whether a request may run more than once.
func (k Kind) repeatable() bool { return k.isResumable() || k == Lookup }

func (k Kind) isStream() bool { return k.isResumable() || k == PlainStream }

func (k Kind) isResumable() bool { return k == ResumableStream || k.isReleased() }

// response is what a caller observed of one request.
type response struct {
	ID   string
	Kind Kind
	// SentAt is the time since the start of traffic.
	SentAt time.Duration
	// EndedAt is when the response was complete or its connection ended, from the start of traffic.
	EndedAt time.Duration
	// Status is 0 if there was no response.
	Status int
	// Body is the body to send until the response replaces it.
	Body string
	// Complete reports whether the body was read to its end without an error.
	Complete bool
	// Resumes is the ID of the request that began the stream which this one takes up after the event
	// After, "" for a new request.
	Resumes string
	After   int
	// Crashing says that the prompt has the part that crashes workers.
	Crashing bool
	// Left says that the caller disconnected in the middle of the stream.
	Left bool
	// RevokedKey reports whether the request carried the key that is revoked during the run.
	RevokedKey bool
}

// Violation is a guarantee that the fleet did not keep.
type Violation struct {
	Rule, Request, Detail string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", b.Rule, b.Request, b.Detail)
}

// The guarantees that are checked.
const (
	RuleRanTwice      = "twice"
	RuleRefusedButRan = "refused-but-ran"
	RuleWrongBody     = "mixed"
	RuleRevokedKey    = "revoked-key"
	RuleLeaving       = "leaving"
	RuleRecovery      = "recover"
	RuleCrashes       = "deadly"
	RulePart          = "deadly-part"
	RuleRefusedIdle   = "refused-while-idle"
	RuleVersions      = "versions"
	RuleUnresumed     = "unresumed"
	RuleShare         = "share"
	RuleForeignEvent  = "foreign-event"
	RuleBarred        = "barred"
	RuleUnfinished    = "unfinished"
)

// checker collects what callers and workers observed.
type checker struct {
	mu        sync.Mutex
	responses []response
	// revokedAt is when the key was revoked, from the start of traffic; 0 if it was not.
	revokedAt time.Duration
	// quietAt is when the time without faults began, from the start of traffic; 0 before.
	quietAt time.Duration
	// garbage is when workers sent garbage, and onlyGarbage says that they do nothing else wrong.
	garbage     []garbagePeriod
	onlyGarbage bool
	// endsNoServer says that no fault ends a worker or its connections.
	endsNoServer bool
	// stopsAt is when that time ended and the series of planned stops began; 0 before.
	stopsAt time.Duration
	// stopRequests are the requests during the planned stops, which responses holds as well.
	stopRequests []stopRequest
	stops        []stopTimes
	violations   []Violation
}

func (c *checker) add(res response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, res)
}

func (c *checker) report(rule, request, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{rule, request, detail})
}

// propagationLimit is how long routers may apply the previous version of the configuration. It
// allows for routers that are paused or cannot reach the store.
const propagationLimit = 8 * time.Second

// evaluate returns all violations, given what the workers ran.
func (c *checker) evaluate(runs []standin.Run) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	ran := map[string]int{}
	for _, r := range runs {
		ran[r.ID]++
	}
	list := slices.Clone(c.violations)
	for _, res := range c.responses {
		list = append(list, c.checkResponse(res, ran[res.ID])...)
	}
	list = append(list, c.checkStreams()...)
	list = append(list, c.checkUnfinished()...)
	slices.SortStableFunc(list, func(a, b Violation) int { return cmp.Compare(a.Rule, b.Rule) })
	return list
}

func (c *checker) checkResponse(res response, ran int) []Violation {
	var list []Violation
	add := func(rule, format string, args ...any) {
		list = append(list, Violation{rule, res.ID, fmt.Sprintf(format, args...)})
	}
	if !res.Kind.repeatable() && ran > 1 {
		add(RuleRanTwice, "a %s request ran %d times", res.Kind, ran)
	}
	if guaranteesNotRun(res.Status) && ran > 0 {
		add(RuleRefusedButRan, "status %d, but ran %d times", res.Status, ran)
	}
	// The callers together never use more than half of the slots of a plain worker, nor of the engines.
	if c.isQuiet(res.SentAt) && (!res.Kind.isStream() && res.isBusy() || res.isOverShare() || res.accusesRequest()) {
		add(RuleRefusedIdle, "a %s request was refused with status %d %s after the last fault, although workers were idle", res.Kind, res.Status, res.SentAt-c.quietAt)
	}
	if c.endsNoServer && res.accusesRequest() {
		add(RuleBarred, "refused with %s, although nothing in the run ends a worker or its connections", res.Body)
	}
	if res.Status == http.StatusOK {
		if rule, why := bodyError(res); why != "" {
			add(rule, "%s", why)
		}
		if res.RevokedKey && c.revokedAt > 0 && res.SentAt > c.revokedAt+propagationLimit {
			add(RuleRevokedKey, "accepted %s after its key was revoked", res.SentAt-c.revokedAt)
		}
	}
	return list
}

// isQuiet reports whether there were no faults at a time, and no planned stops.
func (c *checker) isQuiet(at time.Duration) bool {
	return c.quietAt > 0 && at > c.quietAt && (c.stopsAt == 0 || at < c.stopsAt)
}

// isBusy reports whether a request was refused since no worker could run it in time.
func (r *response) isBusy() bool {
	return r.Status == http.StatusServiceUnavailable && strings.Contains(r.Body, `"code":"busy"`)
}

// isOverShare reports whether a request was refused because of the share of its account.
func (r *response) isOverShare() bool {
	return r.Status == http.StatusTooManyRequests && strings.Contains(r.Body, `"code":"over-share"`)
}

// accusesRequest reports whether a request was refused because of crashes under it, or under a part of its prompt.
func (r *response) accusesRequest() bool {
	return r.Status == http.StatusServiceUnavailable && (strings.Contains(r.Body, `"code":"ends-backends"`) || strings.Contains(r.Body, `"code":"part-ends-backends"`))
}

// guaranteesNotRun reports whether a status guarantees that the request did not run and never
// will.
func guaranteesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}
