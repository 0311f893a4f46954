package admit

import "time"

// LimitedEngine is an engine whose running requests are limited because its streams exceed the pauses of
// their routes.
type LimitedEngine struct {
	Name string `json:"backend"`
	// Limit is the number of requests that may run, Running those that do, Waiting those in the queue.
	Slots   int `json:"slots"`
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Pause is the last reported pause that exceeded its target, Target that target.
	Pause  time.Duration `json:"pause_ns"`
	Target time.Duration `json:"target_ns"`
}

// PauseCounts counts the reports on pauses at the engines owned here.
type PauseCounts struct {
	// Exceeded counts the pauses above their targets, Kept the complete responses without one.
	Exceeded int64 `json:"exceeded"`
	Kept     int64 `json:"kept"`
}

// PauseCounts returns the counts since the start.
func (c *Core) PauseCounts() PauseCounts { return c.pauseCounts }

// LimitedEngines returns the engines that this router owns and limits, by name.
func (c *Core) LimitedEngines(now time.Duration) []LimitedEngine {
	var all []LimitedEngine
	for _, s := range c.ownedServers {
		o := s.owned
		limit := o.pauses.value(s.Slots, now)
		if limit >= s.Slots || !s.isListed || s.owner != c.opt.self.Address {
			continue
		}
		all = append(all, LimitedEngine{
			Name: s.Name, Slots: s.Slots, Limit: limit, Running: o.running, Waiting: len(o.queue), Pause: o.pauses.pause, Target: o.pauses.target,
		})
	}
	return all
}
