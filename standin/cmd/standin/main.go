// Command standin runs stand-ins for the platform and for every backend server of a table in one
// process, so that routers can be tried as separate processes.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/config"
	client "github.com/yarrowmast/yarrowmast/internal/platform"
	"github.com/yarrowmast/yarrowmast/internal/router"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/standin/engine"
	"github.com/yarrowmast/yarrowmast/standin/judge"
	"github.com/yarrowmast/yarrowmast/standin/platform"
)

const (
	tokensPerSecond = 100
	chunkInterval   = 20 * time.Millisecond
	pollInterval    = 200 * time.Millisecond
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(command.ExitUsage)
	}
}

func run(args []string) error {
	dir := ""
	p := flaggy.NewParser("standin")
	p.Description = "runs stand-ins for the platform and the backend servers of an example folder"
	p.String(&dir, "d", "dir", "folder with table.yaml and a settings file for each router")
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	if dir == "" {
		return errors.New("--dir FOLDER is required, such as examples/ramdin")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, dir)
}

func serve(ctx context.Context, dir string) error {
	list, address, err := listInstances(dir)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	plat := platform.Start(ln)
	defer plat.Close()
	plat.PublishInstances(list)
	file := filepath.Join(dir, "table.yaml")
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	t, err := table.Parse(file, data)
	if err != nil {
		return err
	}
	if err := startEngines(t); err != nil {
		return err
	}
	fmt.Printf("platform on %s, %d routers listed, %d backend servers; edit %s to publish a new version\n", address, len(list), len(t.Backends), file)
	publishChanges(ctx, plat, file, data)
	return nil
}

// listInstances returns the routers with a settings file in the folder, and the platform's address.
func listInstances(dir string) ([]client.Instance, string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, "", err
	}
	var list []client.Instance
	address := ""
	for _, f := range files {
		if strings.HasSuffix(f, "table.yaml") {
			continue
		}
		s, err := config.Load(f)
		if err != nil {
			return nil, "", err
		}
		address = s.Platform
		list = append(list, client.Instance{Name: s.Name, Zone: s.Zone, Address: s.Listen.Peers, Admin: s.Listen.Admin, State: "live"})
	}
	return list, address, nil
}

func startEngines(t *table.Table) error {
	recorder := judge.New()
	for _, b := range t.Backends {
		ln, err := net.Listen("tcp", b.Address)
		if err != nil {
			return err
		}
		recorder.AddServer(judge.Server{Name: b.Name, Model: b.Models[0], Zone: b.Zone, Slots: b.Slots})
		engine.Start(engine.Config{Name: b.Name, Slots: b.Slots, TokensPerSecond: tokensPerSecond, ChunkInterval: chunkInterval, Recorder: recorder}, ln)
	}
	return nil
}

// publishChanges publishes the table, and publishes it again whenever its file changes.
func publishChanges(ctx context.Context, plat *platform.Platform, file string, data []byte) {
	fmt.Printf("table version %d\n", plat.Publish(router.TableName, data))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
		now, err := os.ReadFile(file)
		if err == nil && string(now) != string(data) {
			data = now
			fmt.Printf("table version %d\n", plat.Publish(router.TableName, data))
		}
	}
}
