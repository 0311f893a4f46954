package dispatch

// PauseLoop blocks the event loop until resume is called, to simulate a paused process. It is
// meant for tests and measurements.
func (d *Dispatcher) PauseLoop() (resume func()) {
	begun, end := make(chan struct{}), make(chan struct{})
	if !d.post(pauseEvent{begun, end}) {
		return func() {}
	}
	<-begun
	return func() { close(end) }
}

type pauseEvent struct{ begun, end chan struct{} }

func (e pauseEvent) apply(s *state) {
	close(e.begun)
	select {
	case <-e.end:
	case <-s.d.ctx.Done():
	}
}
