package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// RuleCopy is the promise that what is written after the store came back from a copy comes into
// force.
const RuleCopy = "copy"

const (
	// keyLast is a key that is taken away after the store has come back from its last copy.
	keyLast = "secret-3"
	// lostChanges is how many changes the store then loses, more than are written again.
	lostChanges = 60
	// lastAway is for how long it is away, knownWithin within what time routers know of the
	// changes before.
	lastAway    = 200 * time.Millisecond
	knownWithin = 2 * time.Second
)

// checkCopy has the store lose many changes that the routers know, and take a key away in the
// first that it takes then: every router is to refuse it as soon as after any other change.
func (f *fleet) checkCopy(j *judge, plant string) {
	held := f.store.Backup()
	for i := range lostChanges {
		f.store.Put("other/lost", i)
	}
	time.Sleep(knownWithin)
	f.store.Restore(held, lastAway, nil)
	if plant != RuleCopy {
		f.lastRevoked = true
		f.configure()
	}
	end := time.Now().Add(inForceWithin)
	for _, r := range f.routers {
		for n := 0; !f.refusesLast(r, n); n++ {
			if time.Now().After(end) {
				j.breach(RuleCopy, "-", fmt.Sprintf("%s serves a key %s after it was taken away and the store had come back from a copy", r.name, inForceWithin))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// refusesLast reports whether a router refuses the key that is taken away last.
func (f *fleet) refusesLast(r *router, number int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("copy-%s-%d", r.name, number)
	req, err := standin.NewRequest(ctx, r.front.address(), host, pathOf(Look), id, keyLast, deadline)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusUnauthorized
}
