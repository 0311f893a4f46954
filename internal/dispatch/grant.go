package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/internal/backend"
	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// grant returns what a caller gets for a decision.
func (d *Dispatcher) grant(r front.Request, dec decision) (front.Grant, error) {
	if dec.err != nil {
		return front.Grant{}, dec.err
	}
	start := &dec.start
	return front.Grant{
		ID:                 dec.id,
		Backend:            start.Backend.Name,
		Address:            start.Backend.Address,
		StartTime:          start.Backend.StartTime,
		Software:           start.Backend.Software(),
		Reason:             start.Reason,
		CopyPrefixFrom:     start.CopyPrefixFrom,
		MaxConnections:     d.connectionShare(r.Model),
		TokensAhead:        start.TokensAhead,
		ExpectedFirstEvent: start.ExpectedFirstEvent,
		FirstEventMargin:   start.FirstEventMargin,
		Running:            start.Running,
		Served:             dec.tokens,
		Waited:             r.Waited + dec.waited,
		OnFirstEvent:       func() { d.post(firstOutputEvent{dec.id}) },
		OnPause:            func(pause, target time.Duration) { d.reportPause(dec.id, pause, target) },
		OnNotice:           func(n backend.Notice) { d.post(noticeEvent{dec.id, n}) },
		Saturated:          d.Saturated,
		// After a longer pause the owner may have granted the slot to another request.
		MayStart: func() bool { return d.now()-dec.decidedAt < d.startTimeout() },
	}, nil
}

// startTimeout returns how long after its decision a request may still be sent.
func (d *Dispatcher) startTimeout() time.Duration {
	if d.opt.weighted {
		return admit.GrantTTL
	}
	return admit.AttemptTTL
}

// evenConnectionFraction is the fraction of a backend server's connection limit that is divided
// evenly among the routers. The rest is left for requests in flight, which may be spread
// unevenly.
const evenConnectionFraction = 0.5

// connectionShare returns this router's share of the connections to each backend server of a
// service, 0 if the table states no limit. Idle connections beyond the share are closed: those of many
// routers would together exceed the limit, and a backend server resets the rest with requests on them.
func (d *Dispatcher) connectionShare(service string) int {
	t := d.Table()
	if t == nil {
		return 0
	}
	row, ok := t.ServiceByName(service)
	if !ok || row.MaxConnections <= 0 {
		return 0
	}
	routers := max(1, d.shared.routerCount.Load())
	return max(1, int(evenConnectionFraction*float64(row.MaxConnections)/float64(routers)))
}

type firstOutputEvent struct{ id uint64 }

func (e firstOutputEvent) apply(s *state) { s.step(admit.FirstEvent{ID: e.id}) }

type noticeEvent struct {
	id     uint64
	notice backend.Notice
}

func (e noticeEvent) apply(s *state) {
	s.step(admit.BackendNotice{ID: e.id, Leaving: e.notice.Leaving, Backoff: e.notice.RetryAfter})
}
