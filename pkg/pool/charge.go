package pool

func (o *Owner) account(name string) *account {
	a, ok := o.accounts[name]
	if !ok {
		a = &account{name: name, demands: map[requesterID]*demand{}, idleSince: o.now - o.opt.idleGrace}
		o.accounts[name] = a
	}
	return a
}

// urgentGrowth is the factor by which an account's waiting requests must grow
// after the last share to justify an early one.
const urgentGrowth = 2

// updateQueue activates the account in the fair queue if requests wait and its
// limits allow them, and deactivates it otherwise.
func (o *Owner) updateQueue(a *account) {
	n, local := 0, 0
	for id, c := range a.demands {
		if !o.isFresh(id) {
			continue
		}
		n += c.count()
		if id.pool == o.pool {
			local += c.count()
		}
	}
	o.unreported = o.unreported || local >= urgentGrowth*a.sharedWaiting+1
	if a.limit != nil && n == 0 && a.running == 0 {
		a.limit.activeSince = o.now
	}
	if n > 0 && a.limit != nil && o.overLimit(a) {
		// An account over its limit keeps its virtual time.
		o.queue.Deactivate(a.name)
		a.idleSince = o.now
		return
	}
	if n > 0 {
		o.queue.Activate(a.name, o.now-a.idleSince >= o.opt.idleGrace)
		return
	}
	if o.queue.Get(a.name).Active {
		a.idleSince = o.now
		o.queue.Deactivate(a.name)
	}
}

// charge charges served tokens to the account. With ScaledByZones it charges
// them once more for each sibling that serves the account, since those siblings
// serve it concurrently.
func (o *Owner) charge(name string, tokens float64) {
	if tokens == 0 || name == "" {
		return
	}
	a := o.account(name)
	a.served += tokens
	a.changed = true
	a.limit.spend(tokens, 0)
	factor := 1.0
	if o.opt.estimator == ScaledByZones {
		factor += float64(a.servingSiblings)
	}
	o.queue.Charge(name, tokens*factor)
}

// settleCharge replaces a lease's charge by the tokens served. Until the
// request is done the charge does not fall below the initial one.
func (o *Owner) settleCharge(l *lease, tokens int64, done bool) {
	l.tokens = max(l.tokens, tokens)
	due := float64(l.tokens)
	if !done {
		due = max(due, l.charged)
	}
	o.charge(l.account, due-l.charged)
	l.charged = due
	if done && l.account != "" {
		o.account(l.account).costEstimate.add(float64(l.tokens))
		o.overall.add(float64(l.tokens))
	}
}

// initialCharge returns the tokens that a grant charges at once: the estimated
// cost, but at most what a slot serves within the charge horizon. Charging the
// full estimate would starve accounts with long requests; charging nothing
// would let one account take every slot before the first report.
func (o *Owner) initialCharge(a *account) float64 {
	perSlot := o.opt.initialRate
	if o.rate.known {
		perSlot = o.rate.mean
	}
	return min(o.estimate(a), perSlot*o.opt.chargeHorizon.Seconds())
}

func (o *Owner) estimate(a *account) float64 {
	if a.costEstimate.known {
		return a.costEstimate.mean
	}
	if o.overall.known {
		return o.overall.mean
	}
	return o.opt.initialEstimate
}

// estimate is an exponentially weighted moving average.
type estimate struct {
	mean  float64
	known bool
}

// estimateGain is the weight of the newest value.
const estimateGain = 0.1

func (e *estimate) add(x float64) {
	if !e.known {
		e.mean = x
		e.known = true
		return
	}
	e.mean += estimateGain * (x - e.mean)
}
