package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestOnlyFirstReaderReadsPlatform guards against platform reads by more than the first reader
// of a quiet fleet: its verification must reach all others before their own is due.
func TestOnlyFirstReaderReadsPlatform(t *testing.T) {
	const within = 3 * time.Second
	for _, routers := range []int{10, 31, 99} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newEmulator(routers, 3, within)
			f.startAll()
			f.run(clockStart+7*time.Second, func() {})
			f.resetCosts()
			worst := time.Duration(0)
			f.run(f.now+8*time.Second, func() {
				for _, r := range f.routers {
					worst = max(worst, f.now-time.Duration(r.d.shared.lastVerified.Load()))
				}
			})
			reads := f.store.callsBy[f.reader().address]
			if extra := f.store.calls - reads; extra > 0 {
				t.Errorf("%d extra platform reads by other routers; longest time without verification %v", extra, worst)
			}
			if reads == 0 || reads > 20 {
				t.Errorf("the reader read the platform %d times in 8 s", reads)
			}
			messages, _, _ := f.sent()
			t.Logf("longest time without verification %v, %d messages", worst, messages)
		})
	}
}

// TestNewEpochSoonAfterFullUpdates guards against referrals to routers that were sent everything of an
// earlier epoch: they lack the new one, refer others to each other, and all read the platform in the end.
func TestNewEpochSoonAfterFullUpdates(t *testing.T) {
	const (
		routers, within = 90, 3 * time.Second
		maxReaders      = 6
		// maxCalls is what three reads of everything take.
		maxCalls = 3 * (1 + serversPerRouter*routers/emulatedPage)
	)
	tests := map[string]struct {
		// sinceStart is the time from the start to the first restore, intervals those between it and
		// further ones. The last restore counts.
		sinceStart time.Duration
		intervals  []time.Duration
	}{
		"after the start":           {2 * time.Second, nil},
		"1 s after another":         {2 * recipientTTL, []time.Duration{time.Second}},
		"2 s after another":         {2 * recipientTTL, []time.Duration{2 * time.Second}},
		"third at intervals of 2 s": {2 * recipientTTL, []time.Duration{2 * time.Second, 2 * time.Second}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEmulator(routers, 3, within)
			f.startAll()
			f.runUntil(settled, f.allKnowAll)
			f.run(f.now+tc.sinceStart, func() {})
			for _, interval := range tc.intervals {
				f.store.epoch++
				f.run(f.now+interval, func() {})
			}
			f.store.epoch++
			f.resetCosts()
			took := f.runUntil(settled, func() bool {
				return f.countIf(func(r *emulatedRouter) bool { return r.d.asOf().Epoch < f.store.epoch }) == 0
			})
			t.Logf("known everywhere after %v; %d routers read the platform, %d calls", took, len(f.store.callsBy), f.store.calls)
			if readers := len(f.store.callsBy); readers > maxReaders {
				t.Errorf("%d routers read the platform, want at most %d", readers, maxReaders)
			}
			if f.store.calls > maxCalls {
				t.Errorf("%d calls, want at most %d", f.store.calls, maxCalls)
			}
		})
	}
}
