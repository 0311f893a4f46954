// Package logsink writes a log without blocking the caller. It queues the records and writes them
// from its own goroutine. If the queue is full it drops records, counts them, and logs the count.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultQueueSize is the maximum number of queued records.
	DefaultQueueSize = 8192
	// lowPriorityFraction is the fraction of the queue that low-priority records may fill. The
	// rest is reserved for warnings, errors and failed requests.
	lowPriorityFraction = 0.5
	maxBatchBytes       = 64 << 10
	// maxLineBytes bounds a line. Values may repeat what came from outside, such as the number in an error of a decoder.
	maxLineBytes = 16 << 10
	// codeKey is the attribute with the code of a failure, "" for a success.
	codeKey = "code"
)

// Sink queues log records for a writer.
type Sink struct {
	out   io.Writer
	level slog.Leveler
	lines chan *line
	// batch holds the text of the next write. Only run uses it.
	batch bytes.Buffer
	// stop ends run, done is closed when run has returned.
	stop, done chan struct{}
	once       sync.Once
	// dropped counts the records dropped since the last report, droppedFailures those of them
	// that were not low priority.
	dropped, droppedFailures atomic.Int64
}

// line is a queued record. The writing goroutine formats it, so that the logging goroutine does
// not spend time or stack on it.
type line struct {
	formatter slog.Handler
	record    slog.Record
}

// Option changes a new Sink.
type Option func(*Sink)

// WithQueueSize sets the maximum number of queued records.
func WithQueueSize(n int) Option { return func(s *Sink) { s.lines = make(chan *line, n) } }

// New returns a sink that writes records of the level and above to out until Close.
func New(out io.Writer, level slog.Leveler, opts ...Option) *Sink {
	s := &Sink{
		out: out, level: level, lines: make(chan *line, DefaultQueueSize),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	for _, f := range opts {
		f(s)
	}
	go s.run()
	return s
}

// Logger returns a logger that writes to the sink.
func (s *Sink) Logger() *slog.Logger { return slog.New(s.Handler()) }

// Handler returns a handler that writes to the sink.
func (s *Sink) Handler() slog.Handler {
	return &handler{sink: s, formatter: slog.NewTextHandler(&s.batch, &slog.HandlerOptions{Level: s.level})}
}

// Dropped returns the number of dropped records that are not reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued records and stops the sink. It waits for the timeout at most. Later
// records are discarded.
func (s *Sink) Close(timeout time.Duration) {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// enqueue queues a line, or drops it if the queue is full.
func (s *Sink) enqueue(l *line, lowPriority bool) {
	if lowPriority && float64(len(s.lines)) >= lowPriorityFraction*float64(cap(s.lines)) {
		s.dropped.Add(1)
		return
	}
	select {
	case s.lines <- l:
	default:
		s.dropped.Add(1)
		if !lowPriority {
			s.droppedFailures.Add(1)
		}
	}
}

// run writes queued lines until stop is closed.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case l := <-s.lines:
			s.write(l)
		case <-s.stop:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			return
		}
	}
}

// write writes a line together with the queued lines, up to maxBatchBytes.
func (s *Sink) write(l *line) {
	s.batch.Reset()
	s.format(l)
	for s.batch.Len() < maxBatchBytes && len(s.lines) > 0 {
		s.format(<-s.lines)
	}
	s.logDropped()
	if _, err := s.out.Write(s.batch.Bytes()); err != nil {
		s.dropped.Add(1)
	}
}

// format appends the text of a line to the batch, at most maxLineBytes of it.
func (s *Sink) format(l *line) {
	start := s.batch.Len()
	if err := l.formatter.Handle(context.Background(), l.record); err != nil {
		s.dropped.Add(1)
	}
	if size := s.batch.Len() - start; size > maxLineBytes {
		s.batch.Truncate(start + maxLineBytes)
		fmt.Fprintf(&s.batch, "... (%d bytes)\n", size)
	}
}

func (s *Sink) logDropped() {
	if s.dropped.Load() == 0 {
		return
	}
	log := slog.New(slog.NewTextHandler(&s.batch, nil))
	log.Warn("log_dropped", "lines", s.dropped.Swap(0), "failures", s.droppedFailures.Swap(0))
}

// handler is a slog.Handler that queues records.
type handler struct {
	sink      *Sink
	formatter slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.formatter.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	h.sink.enqueue(&line{formatter: h.formatter, record: r.Clone()}, isLowPriority(r))
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{sink: h.sink, formatter: h.formatter.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{sink: h.sink, formatter: h.formatter.WithGroup(name)}
}

// isLowPriority reports whether a record is neither a warning, an error nor a failure.
func isLowPriority(r slog.Record) bool {
	if r.Level >= slog.LevelWarn {
		return false
	}
	lowPriority := true
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == codeKey {
			lowPriority = a.Value.String() == ""
		}
		return lowPriority
	})
	return lowPriority
}
