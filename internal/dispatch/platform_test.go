package dispatch

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// TestFirstReadDelay checks when a router that has just started reads the platform itself.
func TestFirstReadDelay(t *testing.T) {
	const self, other, within = "10.0.0.1:7", "10.0.0.2:7", 4 * time.Second
	tests := map[string]struct {
		seeds []string
		asOf  uint64
		want  time.Duration
	}{
		"without seeds":                      {nil, 0, 0},
		"a seed":                             {[]string{other, self}, 0, 0},
		"no seed":                            {[]string{other}, 0, firstReadDelay(0, readSpread(self))},
		"no seed, updated by another router": {[]string{other}, 9, time.Duration(firstVerifyFraction * float64(within))},
		"seed, updated by another router":    {[]string{self, other}, 9, time.Duration(firstVerifyFraction * float64(within))},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(Identity{Name: "a", Address: self, Zone: "x"}, emptySource{}, &recordingTransport{}, WithSeeds(tc.seeds), WithApplyWithin(within))
			d.shared.asOf.Store(&catalog.Revision{Number: tc.asOf})
			if got := d.verifyDue(clockStart); got != tc.want {
				t.Errorf("first read in %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRetryDelayGrowsWithRank guards against a call rate that grows with the fleet while the
// platform is down.
func TestRetryDelayGrowsWithRank(t *testing.T) {
	calls := func(routers int) float64 {
		d := New(Identity{}, emptySource{}, &recordingTransport{})
		sum := 0.0
		for rank := range routers {
			d.shared.readerRank.Store(int64(rank))
			sum += 1 / d.retryDelay(time.Second).Seconds()
		}
		return sum
	}
	if got := calls(4); got < 3 {
		t.Errorf("4 routers make %.1f calls per second, want at least 3", got)
	}
	if got := calls(300); got > 50 {
		t.Errorf("300 routers make %.1f calls per second, want at most 50", got)
	}
	// Each doubling of the fleet adds the same.
	if more := calls(1200) - calls(600); more > 4 {
		t.Errorf("1200 routers make %.1f calls per second more than 600", more)
	}
}
