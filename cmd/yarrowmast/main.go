// Command yarrowmast is the router process. Every one is identical.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/internal/node"
	"github.com/yarrowmast/yarrowmast/platform"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	file := ""
	p := flaggy.NewParser("yarrowmast")
	p.Description = "routes requests of client accounts to backend servers"
	p.Version = command.Version
	p.String(&file, "s", "settings", "file of the settings")
	if err := p.ParseArgs(args); err != nil || file == "" {
		fmt.Fprintln(os.Stderr, "yarrowmast: give --settings FILE; see yarrowmast --help")
		return command.ExitUsage
	}
	s, err := config.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitUsage
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level(s.LogLevel)}))
	n, err := node.Start(s, node.WithLogger(log), node.WithPlatforms(platforms()))
	if err != nil {
		fmt.Fprintln(os.Stderr, "yarrowmast:", err)
		return command.ExitFailed
	}
	return wait(n, s, log)
}

// wait runs until a signal or a failure. A second signal cuts the drain.
func wait(n *node.Node, s config.Settings, log *slog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-n.Failed():
		log.Error("router_failed", "error", err)
		n.Kill()
		return command.ExitFailed
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.DrainFor)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := n.Stop(ctx); err != nil {
		log.Error("router_cut", "error", err)
		return command.ExitFailed
	}
	return command.ExitOK
}

// platforms are the operators' platforms that the program can be run on.
func platforms() map[string]node.Platform {
	return map[string]node.Platform{platform.Kind: {
		Source:  func(address string, d node.Dialer) dispatch.Source { return platform.NewStore(address, d) },
		Callers: platform.CallerDialect(), Backends: platform.BackendDialect(),
	}}
}

func level(name string) slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(name)); err != nil {
		return slog.LevelInfo
	}
	return l
}
