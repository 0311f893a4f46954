package main

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/platform/standin"
)

// The size of a fleet.
const (
	routers = 4
	engines = 3
	desks   = 2
	workers = engines + desks
	// slots is how many requests a worker says that it runs at once.
	slots = 64
	// events is how many events a stream has, pause the time between them and
	// that a plain request takes.
	events = 20
	pause  = 10 * time.Millisecond
)

// router is one router process.
type router struct {
	name, dir       string
	callers, peers  string
	admin           string
	door            *standin.Endpoint
	front           *proxy
	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{}
	settingsVersion int
	// suspended is for how long the process that runs was suspended.
	suspended time.Duration
	// restarting is held while a fault ends and starts the process.
	restarting sync.Mutex
}

// fleet is all that runs for one seed.
type fleet struct {
	binary  string
	dir     string
	store   *standin.Store
	routers []*router
	workers []*standin.Worker
	links   []*proxy
	ports   givenPorts
	version int
	// revoked and lastRevoked say that keyRevoked and keyLast were taken away.
	revoked, lastRevoked bool
	// endsUnder counts the workers that ended under a deadly request.
	endsUnder atomic.Int64
	// states are the last that workers wrote of themselves, by number.
	statesMu sync.Mutex
	states   map[int]string
}

// newFleet starts the store, the workers and the routers.
func newFleet(binary, dir string) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, store: standin.NewStore(), ports: givenPorts{}, states: map[int]string{}}
	f.configure()
	for i := range workers {
		if err := f.addWorker(i); err != nil {
			return f, err
		}
	}
	for i := range routers {
		if err := f.addRouter(i); err != nil {
			return f, err
		}
	}
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return f, err
		}
	}
	return f, nil
}

// serviceOf returns the service of a worker.
func serviceOf(worker int) string {
	if worker < engines {
		return "reader"
	}
	return "desk"
}

func (f *fleet) addWorker(i int) error {
	n := 0
	if i < engines {
		n = events
	}
	w, err := standin.StartWorker(fmt.Sprintf("i-%d", i), n, pause)
	if err != nil {
		return err
	}
	f.workers = append(f.workers, w)
	w.CrashOn(crashBody, func() { f.endsUnder.Add(1) })
	link, err := newProxy(w.Address())
	if err != nil {
		return err
	}
	f.links = append(f.links, link)
	f.enter(i, standin.Ready)
	return nil
}

// enter writes a worker's entry, with the address of the way to it.
func (f *fleet) enter(i int, state string) {
	f.statesMu.Lock()
	defer f.statesMu.Unlock()
	f.states[i] = state
	f.put(i)
}

// enterAgain writes the last entry of a worker anew.
func (f *fleet) enterAgain(i int) {
	f.statesMu.Lock()
	defer f.statesMu.Unlock()
	f.put(i)
}

// put writes a worker's entry. f.statesMu is held.
func (f *fleet) put(i int) {
	f.store.Register(f.workers[i], serviceOf(i), f.links[i].address(), f.states[i], slots)
}

func (f *fleet) addRouter(i int) error {
	door, err := f.store.Listen()
	if err != nil {
		return err
	}
	r := &router{name: fmt.Sprintf("r-%d", i), dir: f.dir, door: door}
	for _, address := range []*string{&r.callers, &r.peers, &r.admin} {
		if *address, err = f.ports.freeAddress(drawPort); err != nil {
			return err
		}
	}
	if r.front, err = newProxy(r.callers); err != nil {
		return err
	}
	f.routers = append(f.routers, r)
	return nil
}

// The ports that routers get: below those that the system gives to outgoing
// connections, which would take a router's while it is down.
const (
	firstPort = 15000
	lastPort  = 32000
	portTries = 100
)

var errNoPort = errors.New("soak: no free port on loopback")

func drawPort() int { return firstPort + rand.IntN(lastPort-firstPort) }

// givenPorts are the ports that routers have been given: one that has not started yet
// does not listen at its own.
type givenPorts map[int]bool

// freeAddress returns an address at which nobody listens and that no router was given.
func (g givenPorts) freeAddress(draw func() int) (string, error) {
	for range portTries {
		port := draw()
		if g[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", address); err == nil {
			g[port] = true
			return address, ln.Close()
		}
	}
	return "", errNoPort
}

func (r *router) settings() string { return filepath.Join(r.dir, r.name+".yaml") }
func (r *router) log() string      { return filepath.Join(r.dir, r.name+".log") }

// suspensions is the file by which the process learns for how long it was suspended.
func (r *router) suspensions() string { return filepath.Join(r.dir, r.name+".suspended") }

// writeSuspended has the steady clock of the process stand still for a time so far. r.mu is
// held.
func (r *router) writeSuspended(d time.Duration) error {
	r.suspended = d
	return os.WriteFile(r.suspensions(), binary.LittleEndian.AppendUint64(nil, uint64(d)), 0o600)
}

// suspend stops the process for a time that its steady clock does not show.
func (r *router) suspend(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stopped := time.Now()
	_ = r.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = r.writeSuspended(r.suspended + time.Since(stopped))
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
}

// write writes the router's settings; each version differs from the last.
func (f *fleet) write(r *router) error {
	r.settingsVersion++
	text := fmt.Sprintf(`name: %s
zone: a
platform_kind: store
platform: %q
seeds: [%q, %q]
retries: {ratio: 0.2, extra: %d, window: 10s}
listen: {callers: %q, peers: %q, admin: %q}
drain_for: 4s
drain_notice: 300ms
log_level: info
`, r.name, r.door.Address(), f.routers[0].peers, f.routers[1].peers, 100+r.settingsVersion, r.callers, r.peers, r.admin)
	return os.WriteFile(r.settings(), []byte(text), 0o600)
}

// start starts a router's process.
func (f *fleet) start(r *router) error {
	if err := f.write(r); err != nil {
		return err
	}
	out, err := os.OpenFile(r.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writeSuspended(0); err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "--settings", r.settings())
	cmd.Env = append(os.Environ(), "YARROWMAST_SOAK_SUSPENDED="+r.suspensions())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: start %s: %w", r.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	r.cmd, r.exited = cmd, exited
	return nil
}

// signal sends a signal to the process that was started last.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(s)
}

var errStays = errors.New("soak: a router does not end")

// await waits until the process has ended.
func (r *router) await(ctx context.Context) error {
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-ctx.Done():
		return errStays
	}
}

// configure writes a new version of the configuration.
func (f *fleet) configure() {
	f.version += 3
	f.configureAgain()
}

// configureAgain writes the last version of the configuration.
func (f *fleet) configureAgain() {
	keys := []string{key}
	if !f.revoked {
		keys = append(keys, keyRevoked)
	}
	if !f.lastRevoked {
		keys = append(keys, keyLast)
	}
	route := func(kind Kind, repeat, service string) standin.Route {
		return standin.Route{
			Name: string(kind), Kind: repeat, Service: service, Public: kind == Submit, Resumable: kind == ResumableStream,
			Attempts: 2, Timeout: 6 * time.Second, TargetLatency: 400 * time.Millisecond, TargetGap: 100 * time.Millisecond,
		}
	}
	f.store.Configure(&standin.Config{
		Version: f.version, Host: host, TokensPerSecond: 600000, Keys: map[string][]string{"moka": keys},
		Routes: []standin.Route{
			route(ResumableStream, standin.Streaming, serviceOf(0)), route(PlainStream, standin.Streaming, serviceOf(0)),
			route(Submit, standin.Unsafe, serviceOf(engines)), route(Lookup, standin.Safe, serviceOf(engines)),
		},
		Services: []standin.Service{
			{Name: serviceOf(0), Slots: slots, MaxConnections: 500}, {Name: serviceOf(engines), MaxConnections: 500},
		},
	})
}

// runs returns what all workers ran.
func (f *fleet) runs() []standin.Run {
	var list []standin.Run
	for _, w := range f.workers {
		list = append(list, w.Runs()...)
	}
	return list
}

// close ends every process that was started here.
func (f *fleet) close() {
	for _, r := range f.routers {
		if r.cmd != nil {
			r.signal(syscall.SIGCONT)
			r.signal(syscall.SIGKILL)
			_ = r.await(context.Background())
		}
		r.front.close()
	}
	for _, l := range f.links {
		l.close()
	}
	for _, w := range f.workers {
		w.Close()
	}
	f.store.Close()
}

// logs returns where the routers' logs are.
func (f *fleet) logs() string { return strings.Join([]string{f.dir, "r-*.log"}, "/") }
