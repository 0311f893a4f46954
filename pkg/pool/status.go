package pool

// Stats counts what an owner did since its start.
type Stats struct {
	// Granted leases went to routers, Lent ones to other owners.
	Granted int64 `json:"granted"`
	Lent    int64 `json:"lent"`
	// Relayed leases were lent by other owners and passed on here; Bounced
	// ones found nobody waiting any more.
	Relayed int64 `json:"relayed"`
	Bounced int64 `json:"bounced"`
	// Swapped ones went to another account than they were lent for.
	Swapped int64 `json:"swapped"`
	// Unused leases came back without a request, Reclaimed ones never came.
	Unused    int64 `json:"unused"`
	Reclaimed int64 `json:"reclaimed"`
}

// AccountStatus is an account as a pool's owner sees it.
type AccountStatus struct {
	Account string `json:"account"`
	// VirtualTime is its weighted service with all lifts, in tokens per weight.
	VirtualTime float64 `json:"virtual"`
	// Charged is the service that this owner charged, in tokens.
	Charged float64 `json:"charged"`
	// Waiting counts requests that the owner could grant to now.
	Waiting int `json:"waiting"`
	// Estimate is the cost expected of its next request, in tokens.
	Estimate float64 `json:"estimate"`
}

// Accounts returns the accounts that the owner remembers, by name.
func (o *Owner) Accounts() []AccountStatus {
	var all []AccountStatus
	for _, name := range sorted(o.accounts) {
		a := o.accounts[name]
		n := 0
		for _, c := range a.claims {
			n += c.count()
		}
		all = append(all, AccountStatus{
			Account: name, VirtualTime: o.queue.Get(name).VirtualTime, Charged: a.own, Waiting: n, Estimate: o.estimate(a),
		})
	}
	return all
}

// Stats returns the counts so far.
func (o *Owner) Stats() Stats { return o.stats }

// Add adds other counts.
func (s *Stats) Add(t Stats) {
	s.Granted += t.Granted
	s.Lent += t.Lent
	s.Relayed += t.Relayed
	s.Bounced += t.Bounced
	s.Swapped += t.Swapped
	s.Unused += t.Unused
	s.Reclaimed += t.Reclaimed
}
