package main

import (
	"sync"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// TestRestoredStoreListsNoGoneWorker guards against an entry that a restored store lists again for ever, though another worker has
// its address.
func TestRestoredStoreListsNoGoneWorker(t *testing.T) {
	f := &fleet{store: standin.NewStore(), entryStates: map[int]string{}}
	defer f.store.Close()
	f.store.Put("servers/gone", map[string]any{})
	time.AfterFunc(50*time.Millisecond, func() { f.removeEntry("gone") })
	f.restoreStore(Step{Fault: StoreRestore, Duration: 100 * time.Millisecond}, &sync.Mutex{})
	if f.store.Lists("gone") {
		t.Error("the worker that has gone is listed")
	}
}
