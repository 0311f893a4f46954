package logsink_test

import (
	"bytes"
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

// gate is a reader of the log that does not read until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

// Write implements io.Writer.
func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

const generous = 10 * time.Second

// TestReaderThatDoesNotRead looks that logging goes on while nobody reads, that
// failures are kept rather than successes, and that losses are told.
func TestReaderThatDoesNotRead(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	const lines = 100
	s := logsink.New(g, slog.LevelInfo, logsink.WithQueueSize(lines))
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
	case <-time.After(generous):
		t.Fatal("logging waits for the reader")
	}
	close(g.open)
	s.Close(generous)
	text := g.buf.String()
	for i := range lines / 4 {
		if !strings.Contains(text, fmt.Sprintf("request=bad-%d ", i)) || !strings.Contains(text, fmt.Sprintf("gap=%d\n", i)) {
			t.Fatalf("failure %d was dropped while successes were kept", i)
		}
	}
	if !strings.Contains(text, "msg=log_dropped lines=") || !strings.Contains(text, "failures=0") {
		t.Error("the loss is not told")
	}
	lost := 10*lines - strings.Count(text, "request=good-")
	if told := toldLost(t, text); lost == 0 || told+int(s.Dropped()) != lost {
		t.Errorf("%d lines were lost, %d are told and %d still counted", lost, told, s.Dropped())
	}
}

// toldLost sums the lines that a log says were lost.
func toldLost(t *testing.T, text string) int {
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

func TestLinesComeWholeAndInOrder(t *testing.T) {
	var out bytes.Buffer
	level := &slog.LevelVar{}
	s := logsink.New(&out, level)
	log := s.Logger()
	const lines = 1000
	for i := range lines {
		log.Info("n", "i", i)
	}
	log.Debug("below the level")
	s.Close(generous)
	log.Info("after the end")
	got := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(got) != lines {
		t.Fatalf("%d lines", len(got))
	}
	for i, line := range got {
		if !strings.HasSuffix(line, fmt.Sprintf("msg=n i=%d", i)) {
			t.Fatalf("line %d: %s", i, line)
		}
	}
}
