package dispatch

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

const (
	// maxPollWait and minPollWait bound the sleep between checks of whether this router
	// should read the platform.
	maxPollWait = 200 * time.Millisecond
	minPollWait = 20 * time.Millisecond
)

// newBackoff returns a jittered backoff for platform reads.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	b.RandomizationFactor = 0.5
	return b
}

// readPlatform reads everything that is published.
func (d *Dispatcher) readPlatform() (catalog.Update, error) {
	known := d.asOf()
	update, err := d.source.Read(d.ctx)
	if err == nil {
		d.warnIfOlder("read", known, catalog.Revision{Epoch: update.Epoch, Number: update.AsOf})
		if !known.IsZero() && update.Epoch > known.Epoch {
			d.addRemovals(known, &update)
		}
	}
	return update, err
}

// warnIfOlder logs a response whose revision is of another epoch than the known one, or older.
func (d *Dispatcher) warnIfOlder(what string, known, r catalog.Revision) {
	if known.IsZero() || known.Epoch == r.Epoch && known.Number <= r.Number {
		return
	}
	d.opt.log.Warn("platform_went_back", "what", what, "epoch", r.Epoch, "revision", r.Number,
		"known_epoch", known.Epoch, "as_of", known.Number)
}

func (d *Dispatcher) recordReadFailure(what string, err error) {
	if d.ctx.Err() == nil {
		d.shared.readFailures.Add(1)
		d.opt.log.Warn("platform_read_failed", "what", what, "as_of", d.asOf().Number, "error", err)
	}
}

// recordReadSuccess logs the first successful read after failures.
func (d *Dispatcher) recordReadSuccess() {
	if n := d.shared.readFailures.Swap(0); n > 0 {
		d.opt.log.Info("platform_read_again", "failures", n, "as_of", d.asOf().Number)
	}
}

// sleep reports false if the dispatcher is closed before the time is over.
func (d *Dispatcher) sleep(wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}
