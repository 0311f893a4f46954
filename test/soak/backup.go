package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// RuleBackup is the guarantee that routers apply what is written after the store was restored from
// a backup.
const RuleBackup = "copy"

const (
	// lastKey is revoked after the last restore of the store.
	lastKey = "secret-3"
	// lostChanges is how many changes that restore loses, more than are written afterwards.
	lostChanges = 60
	// restoreDowntime is how long the store is unavailable, changeDelay how long routers need to
	// read the changes before it.
	restoreDowntime = 200 * time.Millisecond
	changeDelay     = 2 * time.Second
)

// checkRestore restores the store from a backup that lacks many changes known to the routers, and
// then revokes a key. Every router must refuse the key within propagationLimit.
func (f *fleet) checkRestore(c *checker, plant string) {
	backup := f.store.Backup()
	for i := range lostChanges {
		f.store.Put("other/lost", i)
	}
	time.Sleep(changeDelay)
	f.store.Restore(backup, restoreDowntime, nil)
	if plant != RuleBackup {
		f.lastKeyRevoked = true
		f.publishConfig()
	}
	limit := time.Now().Add(propagationLimit)
	for _, r := range f.routers {
		for n := 0; !f.refusesLastKey(r, n); n++ {
			if time.Now().After(limit) {
				c.report(RuleBackup, "-", fmt.Sprintf("%s accepts a key %s after it was revoked on a store restored from a backup", r.name, propagationLimit))
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// refusesLastKey reports whether a router responds 401 to a request with lastKey.
func (f *fleet) refusesLastKey(r *router, attempt int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("copy-%s-%d", r.name, attempt)
	req, err := standin.NewRequest(ctx, r.proxy.address(), host, pathOf(Lookup), id, lastKey, deadline)
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
