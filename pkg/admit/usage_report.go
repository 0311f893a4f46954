package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// applyReport applies the usage reported by another source.
func (w *weightedScheduler) applyReport(source reportSource, reported []wire.AccountUsage, now time.Duration) {
	listed := make(map[usageKey]bool, len(reported))
	for _, x := range reported {
		k := usageKey{x.Service, x.Account}
		listed[k] = true
		u := w.usage(k, now)
		before, known := u.reports[source]
		u.reports[source] = x
		if known && x.Requests >= before.Requests {
			w.addPeerUsage(k, u, x.Served-before.Served, x.Requests-before.Requests)
		}
		w.refreshActive(k, u, now)
	}
	w.dropUnlisted(source, listed, now)
}

func (w *weightedScheduler) addPeerUsage(k usageKey, u *accountUsage, served, requests int64) {
	u.totalServed += served
	u.totalRequests += requests
	u.limiter.spend(float64(served), float64(requests))
	w.queue(k.service).Charge(queueName(k.account), float64(served))
}

// dropSource removes the report of a source that is silent or gone.
func (w *weightedScheduler) dropSource(source reportSource, now time.Duration) {
	w.dropUnlisted(source, nil, now)
}

// dropUnlisted removes what a source reported earlier of usages that its last report does not list.
func (w *weightedScheduler) dropUnlisted(source reportSource, listed map[usageKey]bool, now time.Duration) {
	for k, u := range w.usages {
		if _, known := u.reports[source]; known && !listed[k] {
			delete(u.reports, source)
			w.refreshActive(k, u, now)
		}
	}
}

// Usage returns the account usage of a scope for a receiver.
func (s *Snapshot) Usage(scope wire.Scope, receiver string) []wire.AccountUsage {
	if s.core.weighted == nil {
		return nil
	}
	var list []wire.AccountUsage
	for k, u := range s.core.weighted.usages {
		x := wire.AccountUsage{
			Service: k.service, Account: k.account,
			Served: u.served, Requests: u.requests, Running: u.running, Waiting: u.waiting,
		}
		for source, report := range u.reports {
			if s.core.includesSource(source, scope, receiver) {
				x.Served += report.Served
				x.Requests += report.Requests
				x.Running += report.Running
				x.Waiting += report.Waiting
			}
		}
		if x.Requests > 0 || x.Running+x.Waiting > 0 {
			list = append(list, x)
		}
	}
	return list
}

// PeerUsage is another router's report of account usage.
type PeerUsage struct {
	From string
	// Zone is the sender's zone.
	Zone string
	Msg  *wire.Usage
}

func (e PeerUsage) apply(c *Core) {
	if c.weighted == nil || e.Msg.Scope == wire.ScopeNone {
		return
	}
	source := sourceOf(e.Msg.Scope, e.From, e.Zone)
	c.weighted.applyReport(source, e.Msg.Accounts, c.now)
	c.serveQueues()
}
