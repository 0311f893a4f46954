package dispatch

// Freeze stops the task that decides until the returned function is called, as a paused
// process would. It is for tests and measurements.
func (d *Dispatcher) Freeze() (thaw func()) {
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
