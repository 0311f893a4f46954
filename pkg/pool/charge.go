package pool

func (o *Owner) account(name string) *account {
	a, ok := o.accounts[name]
	if !ok {
		a = &account{name: name, claims: map[claimant]*claim{}, idle: o.now - o.opt.idleGrace}
		o.accounts[name] = a
	}
	return a
}

// untoldFactor: work that waits here is news to the siblings when it has grown
// by this factor since the last share.
const untoldFactor = 2

// refresh puts the account in or out of the queue by its waiting work.
func (o *Owner) refresh(a *account) {
	n, local := 0, 0
	for who, c := range a.claims {
		if !o.fresh(who) {
			continue
		}
		n += c.count()
		if who.pool == o.pool {
			local += c.count()
		}
	}
	o.untold = o.untold || local >= untoldFactor*a.told+1
	if a.limit != nil && n == 0 && a.running == 0 {
		a.limit.since = o.now
	}
	if n > 0 && a.limit != nil && o.over(a) {
		// The account keeps its place in virtual time while it is held back.
		o.queue.Deactivate(a.name)
		a.idle = o.now
		return
	}
	if n > 0 {
		o.queue.Activate(a.name, o.now-a.idle >= o.opt.idleGrace)
		return
	}
	if o.queue.Get(a.name).Active {
		a.idle = o.now
		o.queue.Deactivate(a.name)
	}
}

// charge adds served tokens to the account here, and for each other zone
// that serves it, so that all zones do not rush to the same account.
func (o *Owner) charge(name string, tokens float64) {
	if tokens == 0 || name == "" {
		return
	}
	a := o.account(name)
	a.own += tokens
	a.changed = true
	a.limit.spend(tokens, 0)
	factor := 1.0
	if o.opt.estimator == ScaledByZones {
		factor += float64(a.zones)
	}
	o.queue.Charge(name, tokens*factor)
}

// settle moves a lease's charge to what it has served, or to its estimate
// while it may still serve more.
func (o *Owner) settle(l *lease, tokens int64, done bool) {
	l.tokens = max(l.tokens, tokens)
	due := float64(l.tokens)
	if !done {
		due = max(due, l.charged)
	}
	o.charge(l.account, due-l.charged)
	l.charged = due
	if done && l.account != "" {
		o.account(l.account).est.add(float64(l.tokens))
		o.overall.add(float64(l.tokens))
	}
}

// upfront is what a grant charges at once: no more than a slot serves until
// the owner hears of it. The whole estimate would charge an account of long
// requests for service that it gets much later, and starve it meanwhile;
// nothing would let it take every slot before the first report.
func (o *Owner) upfront(a *account) float64 {
	perSlot := o.opt.firstRate
	if o.rate.known {
		perSlot = o.rate.mean
	}
	return min(o.estimate(a), perSlot*o.opt.lookAhead.Seconds())
}

func (o *Owner) estimate(a *account) float64 {
	if a.est.known {
		return a.est.mean
	}
	if o.overall.known {
		return o.overall.mean
	}
	return o.opt.firstEstimate
}

// estimate is a slowly moving mean of what a request costs.
type estimate struct {
	mean  float64
	known bool
}

// estimateGain is the weight of the newest request in the mean.
const estimateGain = 0.1

func (e *estimate) add(x float64) {
	if !e.known {
		e.mean = x
		e.known = true
		return
	}
	e.mean += estimateGain * (x - e.mean)
}
