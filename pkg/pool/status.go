package pool

// Stats counts the owner's actions since its start.
type Stats struct {
	// Granted counts leases to routers, Lent leases to other owners.
	Granted int64 `json:"granted"`
	Lent    int64 `json:"lent"`
	// Relayed counts leases from other owners that were passed on, Bounced
	// those that went back because no request waited.
	Relayed int64 `json:"relayed"`
	Bounced int64 `json:"bounced"`
	// Swapped counts relayed leases that went to a different account.
	Swapped int64 `json:"swapped"`
	// Unused counts leases that came back without a request, Reclaimed those
	// that were never returned.
	Unused    int64 `json:"unused"`
	Reclaimed int64 `json:"reclaimed"`
}

// AccountStatus is the state of an account at a pool's owner.
type AccountStatus struct {
	Account string `json:"account"`
	// VirtualTime is the account's virtual time, in tokens per weight.
	VirtualTime float64 `json:"virtual"`
	// Charged is the service that this owner charged, in tokens.
	Charged float64 `json:"charged"`
	// Waiting is the number of requests that the owner could grant now.
	Waiting int `json:"waiting"`
	// Estimate is the expected cost of the account's next request, in tokens.
	Estimate float64 `json:"estimate"`
}

// Accounts returns the status of all known accounts, sorted by name.
func (o *Owner) Accounts() []AccountStatus {
	var all []AccountStatus
	for _, name := range sorted(o.accounts) {
		a := o.accounts[name]
		n := 0
		for _, c := range a.demands {
			n += c.count()
		}
		all = append(all, AccountStatus{
			Account: name, VirtualTime: o.queue.Get(name).VirtualTime, Charged: a.served, Waiting: n, Estimate: o.estimate(a),
		})
	}
	return all
}

// Stats returns the counts so far.
func (o *Owner) Stats() Stats { return o.stats }

// Add adds t to s.
func (s *Stats) Add(t Stats) {
	s.Granted += t.Granted
	s.Lent += t.Lent
	s.Relayed += t.Relayed
	s.Bounced += t.Bounced
	s.Swapped += t.Swapped
	s.Unused += t.Unused
	s.Reclaimed += t.Reclaimed
}
