// Package allowance limits how many retries the fleet sends to a service. Each
// router enforces its share of the limit locally, without exchanging messages,
// so the limit also holds during a network partition. The budget grows with the
// requests that a router counts; the constant part is divided by the number of
// routers.
package allowance

import "time"

// Config is the limit for the whole fleet: within any window, at most Ratio
// retries per request to a service, plus Extra.
type Config struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// DefaultConfig returns the limit to use when the settings contain none.
func DefaultConfig() Config { return Config{Ratio: 0.1, Extra: 20, Window: 10 * time.Second} }

const (
	// usableFraction leaves room for requests and retries at the window's
	// edges, which buckets count imprecisely.
	usableFraction = 0.85
	// startFraction is usable in the first window after a start. The process before may have spent usableFraction just
	// before its end, and both lie within one window.
	startFraction = 1 - usableFraction
	// buckets is the number of buckets per window.
	buckets = 20
	// keptBuckets also cover the part of the window in the bucket that it begins in.
	keptBuckets = buckets + 1
	// fleetMemory is how long routers count as sharing Extra after they were last heard. They may be cut off and spend their
	// share: regions lose each other for an hour at times.
	fleetMemory = time.Hour
)

// Budget is one router's share of the retry budget.
type Budget struct {
	config   Config
	started  time.Duration
	services map[string]*counts
	// routers is the largest number of routers heard within fleetMemory, as of routersAt.
	routers   int
	routersAt time.Duration
}

// counts holds the requests and retries of one service, by bucket.
type counts struct {
	bucket   int64
	requests [keptBuckets]int
	retries  [keptBuckets]int
}

// New returns the budget of a router that starts at the time now.
func New(config Config, now time.Duration) *Budget {
	return &Budget{config: config, started: now, services: map[string]*counts{}}
}

// Reconfigure replaces the configuration. A new window length discards the
// counts, as a start does.
func (b *Budget) Reconfigure(now time.Duration, config Config) {
	if config.Window != b.config.Window {
		clear(b.services)
		b.started = now
	}
	b.config = config
}

func (b *Budget) countsAt(now time.Duration, service string) *counts {
	c, ok := b.services[service]
	if !ok {
		c = &counts{}
		b.services[service] = c
	}
	c.advance(int64(now / (b.config.Window / buckets)))
	return c
}

// advance clears the buckets that have left the window.
func (c *counts) advance(bucket int64) {
	for step := int64(0); c.bucket < bucket && step < keptBuckets; step++ {
		c.bucket++
		c.requests[c.bucket%keptBuckets] = 0
		c.retries[c.bucket%keptBuckets] = 0
	}
	c.bucket = max(c.bucket, bucket)
}

// ObserveFleet records how many routers are heard.
func (b *Budget) ObserveFleet(now time.Duration, routers int) {
	if routers >= b.routers || now-b.routersAt >= fleetMemory {
		b.routers, b.routersAt = routers, now
	}
}

// CountRequest counts a request to a service.
func (b *Budget) CountRequest(now time.Duration, service string) {
	c := b.countsAt(now, service)
	c.requests[c.bucket%keptBuckets]++
}

// total returns the requests of one window at most, and the retries of one window at least.
func (c *counts) total() (requests, retries int) {
	for i := range keptBuckets {
		retries += c.retries[i]
		requests += c.requests[i]
	}
	oldest := (c.bucket + 1) % keptBuckets
	return requests - c.requests[oldest], retries
}

// Spend takes one retry from the budget and reports whether one was left. The
// parameter routers is the number of routers that are heard.
func (b *Budget) Spend(now time.Duration, service string, routers int) bool {
	b.ObserveFleet(now, routers)
	c := b.countsAt(now, service)
	requests, retries := c.total()
	if float64(retries)+1 > b.usable(now)*(b.config.Ratio*float64(requests)+b.extraShare(now)) {
		return false
	}
	c.retries[c.bucket%keptBuckets]++
	return true
}

// usable returns the fraction of the budget that may be spent.
func (b *Budget) usable(now time.Duration) float64 {
	if now-b.started < b.config.Window {
		return startFraction
	}
	return usableFraction
}

// extraShare returns this router's share of Extra. It grows from zero during
// the first window, so that starts in series have no more of it than one.
func (b *Budget) extraShare(now time.Duration) float64 {
	share := b.config.Extra / float64(max(1, b.routers))
	if up := now - b.started; up < b.config.Window {
		share *= up.Seconds() / b.config.Window.Seconds()
	}
	return share
}
