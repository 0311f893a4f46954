// Package daemon runs a router process: it starts the router, reloads the settings when the file
// changes or on SIGHUP, and stops the router on SIGTERM or SIGINT.
package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/logsink"
	"github.com/yarrowmast/yarrowmast/internal/node"
)

// Daemon is a running router process.
type Daemon struct {
	file     string
	settings config.Settings
	level    *slog.LevelVar
	sink     *logsink.Sink
	log      *slog.Logger
	node     *node.Node
	signals  chan os.Signal
	changed  chan struct{}
}

// New reads the settings and starts a router that logs to out. Signals that arrive from here on wait for Run:
// without a handler they would end the process.
func New(file string, out io.Writer, opts ...node.Option) (*Daemon, error) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := config.Load(file)
	if err != nil {
		signal.Stop(signals)
		return nil, err
	}
	d := &Daemon{file: file, settings: s, level: &slog.LevelVar{}, signals: signals, changed: make(chan struct{}, 1)}
	d.level.Set(parseLevel(s.LogLevel))
	d.sink = logsink.New(out, d.level)
	d.log = d.sink.Logger()
	applyMachineLimits(s.Machine)
	d.node, err = node.Start(s, append(opts, node.WithLogger(d.log))...)
	if err != nil {
		signal.Stop(signals)
		d.sink.Close(logFlushTimeout)
		return nil, err
	}
	return d, nil
}

// logFlushTimeout limits the time to write the last log lines.
const logFlushTimeout = 200 * time.Millisecond

// Run waits until a signal or a failure ends the router, and returns the exit code of the
// process. A second signal aborts the drain.
func (d *Daemon) Run() int {
	defer d.sink.Close(logFlushTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go config.Watch(ctx, d.file, func() {
		select {
		case d.changed <- struct{}{}:
		default:
		}
	})
	for {
		select {
		case err := <-d.node.Failed():
			d.log.Error("router_failed", "error", err)
			d.node.Kill()
			return command.ExitFailed
		case <-d.changed:
			d.reload("file")
		case s := <-d.signals:
			if s == syscall.SIGHUP {
				d.reload("signal")
				continue
			}
			return d.stop()
		}
	}
}

// reload reads the settings file and applies the changes. It keeps the current settings if the
// file has errors.
func (d *Daemon) reload(cause string) {
	s, err := config.Load(d.file)
	if err != nil {
		d.log.Error("settings_refused", "cause", cause, "error", err)
		return
	}
	change := config.Compare(d.settings, s)
	if change.Empty() {
		d.log.Info("settings_unchanged", "cause", cause)
		return
	}
	d.settings = config.Merge(d.settings, s)
	applyMachineLimits(d.settings.Machine)
	d.node.Reload(d.settings)
	// Log the line if either the old or the new level allows it.
	level := parseLevel(d.settings.LogLevel)
	d.level.Set(min(level, d.level.Level()))
	d.log.Info("settings_reloaded", "cause", cause, "taken", change.Applied, "need_start", change.NeedRestart)
	d.level.Set(level)
}

// A router aborts the remaining requests shortly before DrainFor ends, so that it exits by itself
// before it is killed.
const (
	stopMarginDivisor = 10
	maxStopMargin     = time.Second
)

// stop drains the router until the timeout or a second signal.
func (d *Daemon) stop() int {
	timeout := d.settings.DrainFor
	timeout -= min(timeout/stopMarginDivisor, maxStopMargin)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		for s := range d.signals {
			if s != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	if err := d.node.Stop(ctx); err != nil {
		d.log.Error("router_cut", "error", err)
		return command.ExitFailed
	}
	return command.ExitOK
}

func parseLevel(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}
