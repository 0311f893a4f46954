package admit

import "time"

// PlainServer is what the owner of a plain server has learned about it.
type PlainServer struct {
	Name string `json:"backend"`
	// Limit is the number of requests that may be in flight, Running those that are, Waiting those in
	// the queue.
	Slots   int `json:"slots"`
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Service is the mean service time, Wait the expected wait of one more request. Both are 0 if
	// unknown.
	Service time.Duration `json:"service_ns"`
	Wait    time.Duration `json:"wait_ns"`
	// Denied counts the requests that were denied since they could not be served in time.
	Denied int64 `json:"denied"`
}

// PlainDenied returns the number of requests that this router has denied since its start, as the owner of
// plain servers that could not serve them in time.
func (c *Core) PlainDenied() int64 { return c.plainDenied }

// PlainServers returns the plain servers that this router owns and that have had requests, by name.
func (c *Core) PlainServers(now time.Duration) []PlainServer {
	var all []PlainServer
	for _, s := range c.ownedServers {
		o := s.owned
		if o.plain == nil || !s.isListed || s.owner != c.opt.self.Address {
			continue
		}
		l := o.plain.limit
		e := l.Estimate(now)
		all = append(all, PlainServer{
			Name: s.Name, Slots: s.Slots, Limit: l.Value(), Running: o.running, Waiting: len(o.queue),
			Service: l.Service(), Wait: e.Wait(o.running, len(o.queue)), Denied: o.plain.denied,
		})
	}
	return all
}
