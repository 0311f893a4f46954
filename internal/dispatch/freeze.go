package dispatch

// PauseLoop blocks the event loop until resume is called, to simulate a paused process. It is
// meant for tests and measurements.
func (d *Dispatcher) PauseLoop() (thaw func()) {
	begun, end := make(chan struct{}), make(chan struct{})
	if !d.post(frozen{begun, end}) {
		return func() {}
	}
	<-begun
	return func() { close(end) }
}

type frozen struct{ begun, end chan struct{} }

func (e frozen) apply(s *state) {
	close(e.begun)
	select {
	case <-e.end:
	case <-s.d.ctx.Done():
	}
}
