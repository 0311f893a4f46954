package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// TestReadersFollowInDoublingGroups guards against a whole fleet that reads the platform at once when
// its first readers cannot: within the time that a success needs to reach all, no more routers may
// read than did before.
func TestReadersFollowInDoublingGroups(t *testing.T) {
	const within = 5 * time.Second
	const notice = 200 * time.Millisecond
	due := func(rank int64) time.Duration { return time.Duration(verifyFraction(rank) * float64(within)) }
	for _, routers := range []int64{300, 600, 1200} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			for first := int64(1); first < routers; first++ {
				if due(first) < due(first-1) {
					t.Fatalf("rank %d reads before rank %d", first, first-1)
				}
				n := int64(0)
				for rank := first; rank < routers && due(rank)-due(first) < notice; rank++ {
					n++
				}
				if n > max(evenRanks, 2*first) {
					t.Fatalf("%d routers read within %v of rank %d", n, notice, first)
				}
			}
			if last := due(routers - 1); last > within {
				t.Errorf("the last router reads after %v, although changes must be in force within %v", last, within)
			}
		})
	}
}

// TestFirstReadsAreFew: while a fleet starts and nobody has sent a router everything, few read the
// platform themselves, and each does so after a bounded time.
func TestFirstReadsAreFew(t *testing.T) {
	for _, routers := range []int64{300, 600, 1200} {
		early := 0
		for rank := range routers {
			if firstReadDelay(rank, 0) < 2*time.Second {
				early++
			}
		}
		if early > 16 {
			t.Errorf("%d of %d routers read within 2 s", early, routers)
		}
		if last := firstReadDelay(routers-1, 1); last > maxReadDelay {
			t.Errorf("the last of %d routers waits %v", routers, last)
		}
	}
}

// TestFirstReadsAreSpread: routers that start together and have heard of nobody must not read the
// platform all at once.
func TestFirstReadsAreSpread(t *testing.T) {
	const routers, parts = 600, 8
	counts := [parts]int{}
	for i := range routers {
		delay := firstReadDelay(0, readSpread(fmt.Sprintf("10.0.%d.%d:7", i/200, i%200)))
		part := int(parts * float64(delay-nonSeedReadDelay) / float64(nonSeedReadSpread))
		if part < 0 || part >= parts {
			t.Fatalf("router %d reads after %v", i, delay)
		}
		counts[part]++
	}
	for part, n := range counts {
		if n > 2*routers/parts {
			t.Errorf("%d of %d routers read in part %d of the time", n, routers, part)
		}
	}
}
