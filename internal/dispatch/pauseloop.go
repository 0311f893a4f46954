package dispatch

// PauseLoop blocks the event loop until resume is called, to simulate a paused process. It is
// meant for tests and measurements.
func (d *Dispatcher) PauseLoop() (resume func()) {
	paused, release := make(chan struct{}), make(chan struct{})
	if !d.post(pauseEvent{paused, release}) {
		return func() {}
	}
	<-paused
	return func() { close(release) }
}

type pauseEvent struct{ paused, release chan struct{} }

func (e pauseEvent) apply(s *state) {
	close(e.paused)
	select {
	case <-e.release:
	case <-s.d.ctx.Done():
	}
}
