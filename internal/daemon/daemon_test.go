package daemon

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/command"
)

const testTimeout = 10 * time.Second

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// waitFor waits for a log line that contains all parts.
func (l *logBuffer) waitFor(t *testing.T, parts ...string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		text := l.buf.String()
		l.mu.Unlock()
		for line := range strings.SplitSeq(text, "\n") {
			found := true
			for _, p := range parts {
				found = found && strings.Contains(line, p)
			}
			if found {
				return
			}
		}
	}
	t.Fatalf("no line with %v in\n%s", parts, l.buf.String())
}

func writeSettings(t *testing.T, file, extra string) {
	t.Helper()
	text := fmt.Sprintf(`
name: a-0
zone: a
platform: 127.0.0.1:1
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", admin: "127.0.0.1:0"}
drain_for: 2s
%s
`, extra)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestReload checks reloads on a file change and on a signal, a file with errors, and the stop on
// a signal.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	writeSettings(t, file, "log_level: info")
	log := &logBuffer{}
	d, err := New(file, log)
	if err != nil {
		t.Fatal(err)
	}
	code := make(chan int, 1)
	go func() { code <- d.Run() }()
	log.waitFor(t, "msg=router_started")
	d.signals <- syscall.SIGHUP
	log.waitFor(t, "msg=settings_unchanged", "cause=signal")
	writeSettings(t, file, "log_level: warn\nretries: {extra: 7}")
	log.waitFor(t, "msg=settings_reloaded", "cause=file", "taken=\"[retries log_level]\"", "need_start=[]")
	writeSettings(t, file, "log_level: info\nobjectives: {latency_percent: 90}")
	d.signals <- syscall.SIGHUP
	log.waitFor(t, "msg=settings_reloaded", "need_start=[objectives]")
	writeSettings(t, file, "log_level: info\nobjectives: {latency_percent: 90}\nseeds: [127.0.0.1:9]")
	d.signals <- syscall.SIGHUP
	log.waitFor(t, "msg=settings_reloaded", "taken=[seeds]")
	writeSettings(t, file, "log_level: loud")
	d.signals <- syscall.SIGHUP
	log.waitFor(t, "msg=settings_refused", "cause=signal", "loud")
	d.signals <- syscall.SIGTERM
	select {
	case got := <-code:
		if got != command.ExitOK {
			t.Errorf("exit code %d, want 0", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("the router did not stop")
	}
}

// TestInvalidSettingsDoNotStart guards against a router that starts with invalid settings.
func TestInvalidSettingsDoNotStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	writeSettings(t, file, "log_level: loud")
	if _, err := New(file, &logBuffer{}); err == nil || !strings.Contains(err.Error(), "log_level") {
		t.Errorf("error %v does not name log_level", err)
	}
	if _, err := New(file+".none", &logBuffer{}); err == nil {
		t.Error("no error for a missing file")
	}
}

// TestSignalsDuringStart guards against a signal that ends the process, without a log line or a drain, because it
// arrives while the router starts.
func TestSignalsDuringStart(t *testing.T) {
	tests := map[string]struct {
		signal syscall.Signal
		want   []string
	}{
		"settings changed": {syscall.SIGHUP, []string{"msg=settings_unchanged", "cause=signal"}},
		"planned stop":     {syscall.SIGTERM, []string{"msg=router_stopped"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.yaml")
			writeSettings(t, file, "drain_notice: 10ms")
			log := &logBuffer{}
			d, err := New(file, log)
			if err != nil {
				t.Fatal(err)
			}
			if err := syscall.Kill(os.Getpid(), tc.signal); err != nil {
				t.Fatal(err)
			}
			code := make(chan int, 1)
			go func() { code <- d.Run() }()
			log.waitFor(t, tc.want...)
			if tc.signal == syscall.SIGHUP {
				d.signals <- syscall.SIGTERM
			}
			if got := <-code; got != command.ExitOK {
				t.Errorf("exit code %d, want %d", got, command.ExitOK)
			}
		})
	}
}
