// Package logsink writes a program's log without ever making it wait: lines
// are queued and written by a task of their own. A reader that does not read
// costs lines, never time; what was lost is counted and told.
package logsink

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultQueueSize is how many lines are queued.
	DefaultQueueSize = 8192
	// ordinaryPart is the part of the queue that ordinary lines may fill; the
	// rest is kept for warnings, errors and requests that failed.
	ordinaryPart = 0.5
	// mostBatch bounds what is written at once, in bytes.
	mostBatch = 64 << 10
	// codeKey is the attribute that names why something failed, "" if it did
	// not.
	codeKey = "code"
)

// Sink queues lines for a writer.
type Sink struct {
	out   io.Writer
	level slog.Leveler
	lines chan *line
	// batch is what is written next. Only the task that writes uses it.
	batch bytes.Buffer
	// quit asks the task to end, ended says that it has.
	quit, ended chan struct{}
	once        sync.Once
	// dropped counts the lines lost since that was last told, failed those of
	// them that were not ordinary.
	dropped, failed atomic.Int64
}

// line is an event that is queued. The task that writes makes its text: the task that
// logs has something else to do, and a stack that would have to grow for it, a seventh
// of the time of a refused request (BenchmarkRefusedUnseen).
type line struct {
	text   slog.Handler
	record slog.Record
}

// Option changes a new Sink.
type Option func(*Sink)

// WithQueueSize sets how many lines are queued.
func WithQueueSize(n int) Option { return func(s *Sink) { s.lines = make(chan *line, n) } }

// New returns a sink that writes lines of a level and above to out, until
// Close.
func New(out io.Writer, level slog.Leveler, opts ...Option) *Sink {
	s := &Sink{
		out: out, level: level, lines: make(chan *line, DefaultQueueSize),
		quit: make(chan struct{}), ended: make(chan struct{}),
	}
	for _, f := range opts {
		f(s)
	}
	go s.run()
	return s
}

// Logger returns a logger whose lines go to the sink.
func (s *Sink) Logger() *slog.Logger { return slog.New(s.Handler()) }

// Handler returns a handler whose lines go to the sink.
func (s *Sink) Handler() slog.Handler {
	return &handler{sink: s, text: slog.NewTextHandler(&s.batch, &slog.HandlerOptions{Level: s.level})}
}

// Dropped returns how many lines were lost and not told of yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is queued and ends the sink, at the latest after a time.
// Lines that come later are lost.
func (s *Sink) Close(within time.Duration) {
	s.once.Do(func() { close(s.quit) })
	select {
	case <-s.ended:
	case <-time.After(within):
	}
}

// put queues a line if there is room for it.
func (s *Sink) put(l *line, ordinary bool) {
	if ordinary && float64(len(s.lines)) >= ordinaryPart*float64(cap(s.lines)) {
		s.dropped.Add(1)
		return
	}
	select {
	case s.lines <- l:
	default:
		s.dropped.Add(1)
		if !ordinary {
			s.failed.Add(1)
		}
	}
}

// run is the task that writes.
func (s *Sink) run() {
	defer close(s.ended)
	for {
		select {
		case l := <-s.lines:
			s.write(l)
		case <-s.quit:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			return
		}
	}
}

// write writes a line with all that are queued behind it, up to a bound.
func (s *Sink) write(l *line) {
	s.batch.Reset()
	s.format(l)
	for s.batch.Len() < mostBatch && len(s.lines) > 0 {
		s.format(<-s.lines)
	}
	s.tellDropped()
	if _, err := s.out.Write(s.batch.Bytes()); err != nil {
		s.dropped.Add(1)
	}
}

// format adds the text of a line to the batch.
func (s *Sink) format(l *line) {
	if err := l.text.Handle(context.Background(), l.record); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Sink) tellDropped() {
	if s.dropped.Load() == 0 {
		return
	}
	log := slog.New(slog.NewTextHandler(&s.batch, nil))
	log.Warn("log_dropped", "lines", s.dropped.Swap(0), "failures", s.failed.Swap(0))
}

// handler queues records.
type handler struct {
	sink *Sink
	text slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.text.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	h.sink.put(&line{text: h.text, record: r.Clone()}, isOrdinary(r))
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{sink: h.sink, text: h.text.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{sink: h.sink, text: h.text.WithGroup(name)}
}

// isOrdinary reports whether a record tells of nothing that went wrong.
func isOrdinary(r slog.Record) bool {
	if r.Level >= slog.LevelWarn {
		return false
	}
	ordinary := true
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == codeKey {
			ordinary = a.Value.String() == ""
		}
		return ordinary
	})
	return ordinary
}
