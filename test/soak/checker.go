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

// Kind is a kind of request, which is also the first part of its path.
type Kind string

// The kinds of requests.
const (
	// ResumableStream is a stream that may be taken up elsewhere.
	ResumableStream Kind = "read"
	// PlainStream is a stream that may not.
	PlainStream Kind = "once"
	// Submit may run at most once, Look any number of times.
	Submit Kind = "submit"
	Lookup Kind = "look"
)

// repeatable reports whether a request may run more than once.
func (k Kind) repeatable() bool { return k == ResumableStream || k == Lookup }

func (k Kind) isStream() bool { return k == ResumableStream || k == PlainStream }

// response is what a caller saw of one request.
type response struct {
	ID   string
	Kind Kind
	// SentAt is when it was sent, from the start of traffic.
	SentAt time.Duration
	// Status is 0 if there was no answer.
	Status int
	Body   string
	// Complete says that the answer ended as it should.
	Complete bool
	// RevokedKey says that it was sent with the key that is taken away.
	RevokedKey bool
}

// Violation is a promise that was broken.
type Violation struct {
	Rule, Request, Detail string
}

func (b Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", b.Rule, b.Request, b.Detail)
}

// The promises that are checked.
const (
	RuleRanTwice      = "twice"
	RuleRefusedButRan = "refused-but-ran"
	RuleWrongBody     = "mixed"
	RuleRevokedKey    = "revoked-key"
	RuleLeaving       = "leaving"
	RuleRecovery      = "recover"
	RuleCrashes       = "deadly"
)

// checker collects what callers and workers saw.
type checker struct {
	mu        sync.Mutex
	responses []response
	// revokedAt is when the key was taken away; 0 if it was not.
	revokedAt  time.Duration
	violations []Violation
}

func (j *checker) add(a response) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.responses = append(j.responses, a)
}

func (j *checker) report(rule, request, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, Violation{rule, request, detail})
}

// propagationLimit is how long a change may take until nothing follows the version
// before: generous, since routers are paused and cut off from the store.
const propagationLimit = 8 * time.Second

// evaluate returns the breaches of all that was seen.
func (j *checker) evaluate(runs []standin.Run) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := map[string]int{}
	for _, r := range runs {
		ran[r.ID]++
	}
	list := slices.Clone(j.violations)
	for _, a := range j.responses {
		list = append(list, j.checkResponse(a, ran[a.ID])...)
	}
	slices.SortStableFunc(list, func(a, b Violation) int { return cmp.Compare(a.Rule, b.Rule) })
	return list
}

func (j *checker) checkResponse(a response, ran int) []Violation {
	var list []Violation
	add := func(rule, format string, args ...any) {
		list = append(list, Violation{rule, a.ID, fmt.Sprintf(format, args...)})
	}
	if !a.Kind.repeatable() && ran > 1 {
		add(RuleRanTwice, "a %s request ran %d times", a.Kind, ran)
	}
	if guaranteesNotRun(a.Status) && ran > 0 {
		add(RuleRefusedButRan, "answered %d and ran %d times", a.Status, ran)
	}
	if a.Status == http.StatusOK {
		if why := bodyError(a); why != "" {
			add(RuleWrongBody, "%s", why)
		}
		if a.RevokedKey && j.revokedAt > 0 && a.SentAt > j.revokedAt+propagationLimit {
			add(RuleRevokedKey, "answered %s after its key was taken away", a.SentAt-j.revokedAt)
		}
	}
	return list
}

// guaranteesNotRun reports whether a status says that the request did not run and
// never will.
func guaranteesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// bodyError says what is wrong with the body of a success, "" if nothing is.
func bodyError(a response) string {
	if !a.Kind.isStream() {
		if want := "answer to " + a.ID; a.Body != want && (a.Complete || !strings.HasPrefix(want, a.Body)) {
			return fmt.Sprintf("the answer is %q", a.Body)
		}
		return ""
	}
	var want strings.Builder
	for i := 1; i <= events; i++ {
		want.WriteString(eventText(a.ID, i))
	}
	switch {
	case a.Complete && a.Body != want.String():
		return fmt.Sprintf("a stream ended as whole with %d bytes of %d", len(a.Body), want.Len())
	case !strings.HasPrefix(want.String(), a.Body):
		return fmt.Sprintf("a stream holds something else in its first %d bytes", len(a.Body))
	default:
		return ""
	}
}

// eventText is an event of a stream, as the stand-in's workers write it.
func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", number, id, number)
}
