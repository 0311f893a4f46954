// Package allowance bounds how many requests the fleet sends to a service a
// second time. Each router takes its part of the fleet's allowance by itself,
// so that the bound holds also where routers cannot hear each other: it is
// earned by the requests that a router sees, and a fixed extra is divided by
// the number of routers.
package allowance

import "time"

// Config is the fleet's allowance: within any window, the repeats to a service
// are at most Ratio times its requests, and Extra more.
type Config struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// DefaultConfig is used where settings give none.
func DefaultConfig() Config { return Config{Ratio: 0.1, Extra: 20, Window: 10 * time.Second} }

const (
	// keepBack is the part of the allowance that is used; the rest is for
	// requests that are counted at the edge of a window.
	keepBack = 0.85
	// buckets divide a window.
	buckets = 20
)

// Budget is one router's part.
type Budget struct {
	rule     Config
	started  time.Duration
	services map[string]*counts
}

// counts are one service's requests and repeats, by bucket.
type counts struct {
	bucket   int64
	requests [buckets]int
	repeats  [buckets]int
}

// New returns the part of a router that starts at the time now.
func New(rule Config, now time.Duration) *Budget {
	return &Budget{rule: rule, started: now, services: map[string]*counts{}}
}

// Reconfigure changes the rule from now on.
func (a *Budget) Reconfigure(rule Config) {
	if rule.Window != a.rule.Window {
		clear(a.services)
	}
	a.rule = rule
}

func (a *Budget) at(now time.Duration, service string) *counts {
	c, ok := a.services[service]
	if !ok {
		c = &counts{}
		a.services[service] = c
	}
	c.turn(int64(now / (a.rule.Window / buckets)))
	return c
}

// turn empties the buckets that have run out.
func (c *counts) turn(bucket int64) {
	for step := int64(0); c.bucket < bucket && step < buckets; step++ {
		c.bucket++
		c.requests[c.bucket%buckets] = 0
		c.repeats[c.bucket%buckets] = 0
	}
	c.bucket = max(c.bucket, bucket)
}

// CountRequest counts a request for a service.
func (a *Budget) CountRequest(now time.Duration, service string) {
	c := a.at(now, service)
	c.requests[c.bucket%buckets]++
}

// Spend takes one repeat, if there is one left. Routers is how many share the
// fleet's extra.
func (a *Budget) Spend(now time.Duration, service string, routers int) bool {
	c := a.at(now, service)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	if float64(repeats)+1 > keepBack*(a.rule.Ratio*float64(requests)+a.extra(now, routers)) {
		return false
	}
	c.repeats[c.bucket%buckets]++
	return true
}

// extra is this router's part of the fixed extra. An earlier start of it may
// have used that up, so it grows during the first window.
func (a *Budget) extra(now time.Duration, routers int) float64 {
	part := a.rule.Extra / float64(max(1, routers))
	if up := now - a.started; up < a.rule.Window {
		part *= up.Seconds() / a.rule.Window.Seconds()
	}
	return part
}
