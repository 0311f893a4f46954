package admit

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/enginemodel"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// Every backend server has a performance model, which its owner trains with the first events that holders
// report.

// setEngine gives a backend server a model, a new one if it serves another service than before. A
// restarted server has another key, and thus a new model.
func (c *Core) setEngine(s *server) {
	if name := s.Models[0]; s.engine == nil || s.engineService != name {
		s.engine, s.engineService, s.reports = enginemodel.NewEngine(c.service(name).model), name, engineReports{}
	}
}

// load returns the load ahead of the first event of a request, as of the grant.
func (e *entry) load() enginemodel.Load {
	return enginemodel.Load{PrefillTokens: e.ahead, Running: e.others}
}

// readTime returns how long a backend server reads a number of prompt tokens, in seconds.
func (c *Core) readTime(s *server, tokens int64) float64 {
	return float64(tokens) / s.engine.ReadRate(c.now)
}

// expectedWithMargin returns the time in seconds within which the first event of a request is expected
// if it gets a slot now, including the margin for prediction errors.
func (c *Core) expectedWithMargin(s *server, a *receivedRequest, prefill int64) float64 {
	p := s.engine.Predict(c.now, enginemodel.Load{PrefillTokens: c.unread(s) + prefill, Running: s.owned.running})
	return (p.Expected + p.Margin + c.copyTime(s, a)).Seconds()
}

// copyTime returns the time that an engine takes to copy the shared prefix of a request, 0 if it has the
// prefix or has to read it.
func (c *Core) copyTime(s *server, a *receivedRequest) time.Duration {
	if !a.CopyPrefix || s.hasPrefix(a.SlotRequest, c.now) {
		return 0
	}
	return c.serviceOf(s).copies.Predict(a.SharedTokens)
}

// observeFirstEvent trains the model of a backend server with the time to a first event.
func (c *Core) observeFirstEvent(s *server, e *entry, took time.Duration) {
	if e.ahead > 0 {
		c.predictions.count(took, e.predicted)
		s.health.readmit()
		c.trainModels(s, e, took)
	}
	s.owned.markPrefilled(e)
	s.owned.reading.since = c.now
}

// trainModels trains the model of a backend server with the time to a first event. If a prefix was copied
// for it, what is beyond the time without a copy trains that of copies instead.
func (c *Core) trainModels(s *server, e *entry, took time.Duration) {
	if e.copied > 0 {
		svc := c.serviceOf(s)
		svc.copies.Observe(e.copied, took-s.engine.Predict(c.now, e.load()).Expected)
		s.owned.idleTime.addBusy(c.now, time.Duration(c.readTime(s, e.prefill)*float64(time.Second)))
		return
	}
	s.reports.observedAt = c.now
	s.engine.Observe(c.now, enginemodel.Sample{Load: e.load(), Took: took})
}

// predict predicts the first event of a request that gets a slot, and states the margin to its holder.
func (c *Core) predict(s *server, a *receivedRequest, e *entry) {
	e.predicted = s.engine.Predict(c.now, e.load())
	e.predicted.Expected += c.serviceOf(s).copies.Predict(e.copied)
	if margin := e.predicted.Margin.Milliseconds(); margin > 0 && c.serviceOf(s).engine {
		c.send(a.from, &wire.SlotMargin{ID: a.ID, Server: s.key, MarginMillis: margin})
	}
}

// handleSlotMargin keeps the margin of a slot for the reply that grants it.
func (c *Core) handleSlotMargin(m *wire.SlotMargin) {
	if a := c.requests[m.ID].slotRequestAt(m.Server); a != nil {
		a.margin = time.Duration(min(max(0, m.MarginMillis), maxMarginMillis)) * time.Millisecond
	}
}

// maxMarginMillis bounds a received margin.
const maxMarginMillis = 1 << 30

// Predictions counts the predicted first events at the backend servers that this router owns, and those
// that arrived after the expected time and its margin.
type Predictions struct{ FirstEvents, Exceeded int64 }

func (p *Predictions) count(took time.Duration, x enginemodel.Prediction) {
	p.FirstEvents++
	if took > x.Expected+x.Margin {
		p.Exceeded++
	}
}

// Predictions returns the counts since the start.
func (c *Core) Predictions() Predictions { return c.predictions }
