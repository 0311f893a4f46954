package dispatch

import (
	"math"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/rendezvous"
)

// When a router reads the platform depends on its rank among the readers: the first ones read, and
// tell the others before their own reads are due. If the first ones fail, those behind them follow in
// groups that double, and repeat the slower the further behind they are. The calls to a platform that
// answers nobody thus grow with the logarithm of the fleet.
const (
	// A router of rank 0 verifies its revision when the last verification is firstVerifyFraction of
	// the apply time old. A router of rank r > 0 does so at baseVerifyFraction +
	// r*rankVerifyFraction up to the rank evenRanks, and doublingVerifyFraction later for each
	// doubling of the rank beyond.
	firstVerifyFraction    = 0.2
	baseVerifyFraction     = 0.4
	rankVerifyFraction     = 0.05
	evenRanks              = 6
	doublingVerifyFraction = 0.03
	// nonSeedReadDelay is the least time after the start before a router that is not a seed reads
	// the platform, unless another router sent everything by then. A full read of a large platform
	// takes several calls, which should not come from all routers when the fleet starts. A router
	// that has heard of no other yet has rank 0, so that a part of up to nonSeedReadSpread is added
	// that differs between routers. maxReadDelay bounds the time for those behind.
	nonSeedReadDelay  = 400 * time.Millisecond
	nonSeedReadSpread = 1600 * time.Millisecond
	maxReadDelay      = 5 * time.Second
	// The delays of a first read and of the retry after a failed read grow by one base delay every
	// ranksPerDelay ranks.
	ranksPerDelay = 4
)

// verifyFraction returns the age, as a fraction of the apply time, at which a router of a rank
// verifies its revision again.
func verifyFraction(rank int64) float64 {
	switch {
	case rank == 0:
		return firstVerifyFraction
	case rank <= evenRanks:
		return baseVerifyFraction + rankVerifyFraction*float64(rank)
	default:
		return baseVerifyFraction + rankVerifyFraction*evenRanks + doublingVerifyFraction*math.Log2(float64(rank)/evenRanks)
	}
}

// rankFactor returns how many times longer a router of a rank waits than the first one.
func rankFactor(rank int64) float64 { return 1 + float64(rank)/ranksPerDelay }

// firstReadDelay returns the time after its start at which a router that is not a seed, and knows
// nothing yet, reads the platform. spread is its part of nonSeedReadSpread, in [0, 1).
func firstReadDelay(rank int64, spread float64) time.Duration {
	delay := rankFactor(rank)*float64(nonSeedReadDelay) + spread*float64(nonSeedReadSpread)
	return min(maxReadDelay, time.Duration(delay))
}

// versionsReadInterval is the least interval at which a router of rank 0 reads everything to learn the
// software versions that another router left out.
const versionsReadInterval = time.Second

// versionsDue returns the time until this router may read everything for missing software versions.
func (d *Dispatcher) versionsDue(now time.Duration) time.Duration {
	interval := time.Duration(rankFactor(d.shared.readerRank.Load()) * float64(versionsReadInterval))
	return time.Duration(d.shared.versionsReadAt.Load()) + interval - now
}

// readSpread returns a router's part of nonSeedReadSpread.
func readSpread(address string) float64 {
	return float64(rendezvous.Weight(readerKey, address)) / math.MaxUint64
}

// retryDelay returns the time until a router of a rank repeats a failed read, for the delay that the
// first router would wait.
func retryDelay(rank int64, base time.Duration) time.Duration {
	return time.Duration(rankFactor(rank) * float64(base))
}
