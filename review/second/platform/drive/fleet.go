package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// bounds are the figures of a deployment's sheet that routers get by their settings.
type bounds struct {
	configApply, pass, budgetWindow, grace time.Duration
	budgetRatio                            float64
	budgetExtra                            int
}

// router is one router process.
type router struct {
	name, callers, peers, admin, readiness string
	settings, log                          string
	mu                                     sync.Mutex
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
}

// fleet is the routers and the store.
type fleet struct {
	play     *play
	bounds   bounds
	store    *standin.Store
	endpoint *standin.Endpoint
	routers  []*router
	seeds    []string
}

const (
	zone     = "hall-a"
	seedsMax = 3
	// lowestPort to highestPort is below the range from which the system draws ports of clients.
	lowestPort, highestPort = 21000, 31000
)

var nextPort = lowestPort + os.Getpid()*97%(highestPort-lowestPort)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	for range highestPort - lowestPort {
		nextPort++
		if nextPort > highestPort {
			nextPort = lowestPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}

// newFleet prepares routers, which are not started yet. The first three are the seeds.
func newFleet(p *play, b bounds, count int) (*fleet, error) {
	f := &fleet{play: p, bounds: b, store: standin.NewStore()}
	endpoint, err := f.store.Listen()
	if err != nil {
		return nil, err
	}
	f.endpoint = endpoint
	for i := range count {
		r := &router{name: fmt.Sprintf("front-%d", i+1)}
		for _, a := range []*string{&r.callers, &r.peers, &r.admin, &r.readiness} {
			if *a, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		r.settings, r.log = filepath.Join(p.dir, r.name+".yaml"), filepath.Join(p.dir, r.name+".log")
		f.routers = append(f.routers, r)
		if len(f.seeds) < seedsMax {
			f.seeds = append(f.seeds, r.peers)
		}
	}
	return f, nil
}

// writeSettings writes what the template of the deploy file gives.
func (f *fleet) writeSettings(r *router) error {
	text := fmt.Sprintf(`name: %q
zone: %q
regions: {%q: "island"}
platform_kind: store
platform: %q
seeds: ["%s"]
apply_within: %s
callers:
  pass_within: %s
retries:
  ratio: %v
  extra: %d
  window: %s
machine:
  processors: 0.4
  memory_mb: 284
  descriptors: 4200
listen:
  callers: %q
  peers: %q
  admin: %q
  readiness: %q
drain_for: %s
drain_notice: 2500ms
log_level: info
`, r.name, zone, zone, f.endpoint.Address(), strings.Join(f.seeds, `", "`), f.bounds.configApply, f.bounds.pass,
		f.bounds.budgetRatio, f.bounds.budgetExtra, f.bounds.budgetWindow, r.callers, r.peers, r.admin, r.readiness, f.bounds.grace)
	part := r.settings + ".part"
	if err := os.WriteFile(part, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(part, r.settings)
}

// start starts the process of a router.
func (f *fleet) start(r *router) error {
	if err := f.writeSettings(r); err != nil {
		return err
	}
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(f.play.binary, "--settings", r.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	f.play.started(cmd.Process)
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	r.mu.Lock()
	r.cmd, r.exited = cmd, exited
	r.mu.Unlock()
	f.play.record.say("%s starts, process %d", r.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of a router, if it runs.
func (f *fleet) signal(r *router, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return
	}
	select {
	case <-r.exited:
	default:
		_ = r.cmd.Process.Signal(s)
		f.play.record.say("%s gets %v", r.name, s)
	}
}

// kill kills processes and waits until they are gone.
func (f *fleet) kill(list []*router) {
	for _, r := range list {
		f.signal(r, syscall.SIGKILL)
	}
	for _, r := range list {
		if r.exited != nil {
			<-r.exited
		}
	}
}

// close ends all processes and the store.
func (f *fleet) close() {
	f.kill(f.routers)
	f.store.Close()
}

// startAll starts all routers and waits until they are ready.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for _, r := range f.routers {
		for !r.isReady() {
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

var probes = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks a router as the platform's balancer does.
func (r *router) isReady() bool {
	resp, err := probes.Get("http://" + r.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
