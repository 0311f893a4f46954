package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// RuleBackup is the promise that what is written after the store came back from a copy comes into
// force.
const RuleBackup = "copy"

const (
	// keyLast is a key that is taken away after the store has come back from its last copy.
	keyLast = "secret-3"
	// lostChanges is how many changes the store then loses, more than are written again.
	lostChanges = 60
	// restoreDowntime is for how long it is away, knownWithin within what time routers know of the
	// changes before.
	restoreDowntime = 200 * time.Millisecond
	changeDelay     = 2 * time.Second
)

// checkRestore has the store lose many changes that the routers know, and take a key away in the
// first that it takes then: every router is to refuse it as soon as after any other change.
func (f *fleet) checkRestore(j *checker, plant string) {
	held := f.store.Backup()
	for i := range lostChanges {
		f.store.Put("other/lost", i)
	}
	time.Sleep(changeDelay)
	f.store.Restore(held, restoreDowntime, nil)
	if plant != RuleBackup {
		f.lastRevoked = true
		f.configure()
	}
	end := time.Now().Add(propagationLimit)
	for _, r := range f.routers {
		for n := 0; !f.refusesLastKey(r, n); n++ {
			if time.Now().After(end) {
				j.report(RuleBackup, "-", fmt.Sprintf("%s serves a key %s after it was taken away and the store had come back from a copy", r.name, propagationLimit))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// refusesLastKey reports whether a router refuses the key that is taken away last.
func (f *fleet) refusesLastKey(r *router, number int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("copy-%s-%d", r.name, number)
	req, err := standin.NewRequest(ctx, r.front.address(), host, pathOf(Lookup), id, keyLast, deadline)
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
