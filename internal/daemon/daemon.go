// Package daemon runs one router from its settings file: it starts it, takes
// changed settings over, and ends it as signals say.
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

// New reads the settings and starts a router that logs to out.
func New(file string, out io.Writer, opts ...node.Option) (*Daemon, error) {
	s, err := config.Load(file)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		file: file, settings: s, level: &slog.LevelVar{},
		signals: make(chan os.Signal, 4), changed: make(chan struct{}, 1),
	}
	d.level.Set(levelOf(s.LogLevel))
	d.sink = logsink.New(out, d.level)
	d.log = d.sink.Logger()
	useMachine(s.Machine)
	d.node, err = node.Start(s, append(opts, node.WithLogger(d.log))...)
	if err != nil {
		d.sink.Close(logEnd)
		return nil, err
	}
	return d, nil
}

// logEnd is how long the last lines of the log may take to be written.
const logEnd = 200 * time.Millisecond

// Run waits until a signal or a failure ends the router and returns the
// program's exit code. A second signal cuts the drain.
func (d *Daemon) Run() int {
	defer d.sink.Close(logEnd)
	signal.Notify(d.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
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

// reload takes over what changed in the settings file. A file with errors
// changes nothing.
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
	useMachine(d.settings.Machine)
	d.node.Reload(d.settings)
	// The line is written whether the level before or the new one allows it.
	level := levelOf(d.settings.LogLevel)
	d.level.Set(min(level, d.level.Level()))
	d.log.Info("settings_reloaded", "cause", cause, "taken", change.Applied, "need_start", change.NeedRestart)
	d.level.Set(level)
}

// stopMargin is how long before its time runs out a router cuts what still
// runs, so that it ends by itself: this part of the time, at most a second.
const (
	stopMarginPart = 10
	stopMarginMost = time.Second
)

// stop ends the router as planned.
func (d *Daemon) stop() int {
	within := d.settings.DrainFor
	within -= min(within/stopMarginPart, stopMarginMost)
	ctx, cancel := context.WithTimeout(context.Background(), within)
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

func levelOf(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}
