package dispatch

import "github.com/yarrowmast/yarrowmast/internal/front"

// SpendRetry implements front.Scheduler.
func (d *Dispatcher) SpendRetry(r front.Request) bool {
	result := make(chan bool, 1)
	if !d.post(retryEvent{r, result}) {
		return false
	}
	select {
	case ok := <-result:
		return ok
	case <-d.ctx.Done():
		return false
	}
}

type retryEvent struct {
	request front.Request
	result  chan<- bool
}

func (e retryEvent) apply(s *state) {
	r := &e.request
	if software := s.resolveSoftware(r); software != nil && !s.core.CanContinue(r.Model, r.Regions, *software, r.Leaves) {
		e.result <- false
		return
	}
	routers := s.roster.CountRecent(s.now, s.retryConfig.Window)
	e.result <- s.retryBudget.Spend(s.now, r.Model, routers)
}
