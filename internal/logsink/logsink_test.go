package logsink_test

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/logsink"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

const testTimeout = 10 * time.Second

// TestBlockedWriterDropsLowPriority guards against logging that blocks on its writer, against
// dropping failures before successes, and against unreported drops.
func TestBlockedWriterDropsLowPriority(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	const lines = 100
	s := logsink.New(w, slog.LevelInfo, logsink.WithQueueSize(lines))
	log := s.Logger().With("router", "a-0")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 10 * lines {
			log.Info("request_end", "request", fmt.Sprint("good-", i), "code", "")
		}
		for i := range lines / 4 {
			log.Info("request_end", "request", fmt.Sprint("bad-", i), "code", "busy")
			log.Warn("router_was_paused", "gap", i)
		}
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("logging blocked on the writer")
	}
	close(w.unblock)
	s.Close(testTimeout)
	text := w.buf.String()
	for i := range lines / 4 {
		if !strings.Contains(text, fmt.Sprintf("request=bad-%d ", i)) || !strings.Contains(text, fmt.Sprintf("gap=%d\n", i)) {
			t.Fatalf("failure %d was dropped before successes", i)
		}
	}
	if !strings.Contains(text, "msg=log_dropped lines=") || !strings.Contains(text, "failures=0") {
		t.Error("no report of dropped failures and lines")
	}
	dropped := 10*lines - strings.Count(text, "request=good-")
	if reported := reportedDrops(t, text); dropped == 0 || reported+int(s.Dropped()) != dropped {
		t.Errorf("%d lines were dropped, %d reported and %d not yet reported", dropped, reported, s.Dropped())
	}
}

// reportedDrops returns the sum of the drops that a log reports.
func reportedDrops(t *testing.T, text string) int {
	t.Helper()
	sum := 0
	for _, m := range regexp.MustCompile(`msg=log_dropped lines=(\d+)`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}

// TestRecordsAreWrittenInOrder guards against lost, reordered or interleaved lines.
func TestRecordsAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	level := &slog.LevelVar{}
	s := logsink.New(&out, level)
	log := s.Logger()
	const lines = 1000
	for i := range lines {
		log.Info("n", "i", i)
	}
	log.Debug("below the level")
	s.Close(testTimeout)
	log.Info("after close")
	got := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(got) != lines {
		t.Fatalf("%d lines, want 1000", len(got))
	}
	for i, line := range got {
		if !strings.HasSuffix(line, fmt.Sprintf("msg=n i=%d", i)) {
			t.Fatalf("unexpected line %d: %s", i, line)
		}
	}
}

// TestLinesAreBounded guards against a value of any size that is logged as a whole, and against its taking other
// lines along.
func TestLinesAreBounded(t *testing.T) {
	const maxText = 40 << 10
	w := &blockedWriter{unblock: make(chan struct{})}
	close(w.unblock)
	s := logsink.New(w, slog.LevelInfo)
	log := s.Logger()
	log.Warn("before", "n", 1)
	log.Warn("odd", "text", strings.Repeat("x", 1<<20))
	log.Warn("odd", "error", errors.New(strings.Repeat("\n", 1<<20)))
	log.Warn("after", "n", 2)
	s.Close(testTimeout)
	text := w.buf.String()
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) != 4 || len(text) > maxText || !strings.Contains(lines[0], "msg=before n=1") || !strings.HasSuffix(lines[3], "msg=after n=2") {
		t.Fatalf("%d lines of %d bytes", len(lines), len(text))
	}
	for _, line := range lines[1:3] {
		if !strings.Contains(line, "msg=odd") || !strings.HasSuffix(line, " bytes)") {
			t.Errorf("line %.80q ... %q", line, line[len(line)-30:])
		}
	}
}
