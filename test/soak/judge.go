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
	// Read is a stream that may be taken up elsewhere.
	Read Kind = "read"
	// Once is a stream that may not.
	Once Kind = "once"
	// Submit may run at most once, Look any number of times.
	Submit Kind = "submit"
	Look   Kind = "look"
)

// repeatable reports whether a request may run more than once.
func (k Kind) repeatable() bool { return k == Read || k == Look }

func (k Kind) stream() bool { return k == Read || k == Once }

// answer is what a caller saw of one request.
type answer struct {
	ID   string
	Kind Kind
	// Sent is when it was sent, from the start of traffic.
	Sent time.Duration
	// Status is 0 if there was no answer.
	Status int
	Body   string
	// Whole says that the answer ended as it should.
	Whole bool
	// Revoked says that it was sent with the key that is taken away.
	Revoked bool
}

// Breach is a promise that was broken.
type Breach struct {
	Rule, Request, Detail string
}

func (b Breach) String() string {
	return fmt.Sprintf("%s: request %s: %s", b.Rule, b.Request, b.Detail)
}

// The promises that are checked.
const (
	RuleTwice   = "twice"
	RuleRefused = "refused-but-ran"
	RuleMixed   = "mixed"
	RuleKey     = "revoked-key"
	RuleLeaving = "leaving"
	RuleRecover = "recover"
	RuleDeadly  = "deadly"
)

// judge collects what callers and workers saw.
type judge struct {
	mu      sync.Mutex
	answers []answer
	// revokedAt is when the key was taken away; 0 if it was not.
	revokedAt time.Duration
	breaches  []Breach
}

func (j *judge) add(a answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers = append(j.answers, a)
}

func (j *judge) breach(rule, request, detail string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaches = append(j.breaches, Breach{rule, request, detail})
}

// inForceWithin is how long a change may take until nothing follows the version
// before: generous, since routers are paused and cut off from the store.
const inForceWithin = 8 * time.Second

// verdict returns the breaches of all that was seen.
func (j *judge) verdict(runs []standin.Run) []Breach {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran := map[string]int{}
	for _, r := range runs {
		ran[r.ID]++
	}
	list := slices.Clone(j.breaches)
	for _, a := range j.answers {
		list = append(list, j.check(a, ran[a.ID])...)
	}
	slices.SortStableFunc(list, func(a, b Breach) int { return cmp.Compare(a.Rule, b.Rule) })
	return list
}

func (j *judge) check(a answer, ran int) []Breach {
	var list []Breach
	add := func(rule, format string, args ...any) {
		list = append(list, Breach{rule, a.ID, fmt.Sprintf(format, args...)})
	}
	if !a.Kind.repeatable() && ran > 1 {
		add(RuleTwice, "a %s request ran %d times", a.Kind, ran)
	}
	if promises(a.Status) && ran > 0 {
		add(RuleRefused, "answered %d and ran %d times", a.Status, ran)
	}
	if a.Status == http.StatusOK {
		if why := wrongBody(a); why != "" {
			add(RuleMixed, "%s", why)
		}
		if a.Revoked && j.revokedAt > 0 && a.Sent > j.revokedAt+inForceWithin {
			add(RuleKey, "answered %s after its key was taken away", a.Sent-j.revokedAt)
		}
	}
	return list
}

// promises reports whether a status says that the request did not run and
// never will.
func promises(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// wrongBody says what is wrong with the body of a success, "" if nothing is.
func wrongBody(a answer) string {
	if !a.Kind.stream() {
		if want := "answer to " + a.ID; a.Body != want && (a.Whole || !strings.HasPrefix(want, a.Body)) {
			return fmt.Sprintf("the answer is %q", a.Body)
		}
		return ""
	}
	var want strings.Builder
	for i := 1; i <= events; i++ {
		want.WriteString(eventOf(a.ID, i))
	}
	switch {
	case a.Whole && a.Body != want.String():
		return fmt.Sprintf("a stream ended as whole with %d bytes of %d", len(a.Body), want.Len())
	case !strings.HasPrefix(want.String(), a.Body):
		return fmt.Sprintf("a stream holds something else in its first %d bytes", len(a.Body))
	default:
		return ""
	}
}

// eventOf is an event of a stream, as the stand-in's workers write it.
func eventOf(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", number, id, number)
}
