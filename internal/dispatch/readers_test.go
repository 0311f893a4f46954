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
