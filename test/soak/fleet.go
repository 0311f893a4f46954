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
	// defaultRouters is the number of routers unless a run states another one.
	defaultRouters = 4
	streamWorkers  = 3
	plainWorkers   = 2
	workers        = streamWorkers + plainWorkers
	// slots is the number of slots that a worker announces.
	slots = 64
	// events is the number of events of a stream. eventInterval is the time between them, and the
	// duration of a plain request.
	events        = 20
	eventInterval = 10 * time.Millisecond
)

// router is one router process.
type router struct {
	name, dir              string
	callersAddr, peersAddr string
	adminAddr              string
	endpoint               *standin.Endpoint
	proxy                  *proxy
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	exited                 chan struct{}
	settingsVersion        int
	// small says that the router has little processor capacity.
	small bool
	// suspended is the total time for which the current process was suspended.
	suspended time.Duration
	// restarting is held while a fault restarts the process.
	restarting sync.Mutex
}

// fleet is the store, workers, routers and proxies of one run.
type fleet struct {
	binary        string
	dir           string
	store         *standin.Store
	routers       []*router
	workers       []*standin.Worker
	links         []*proxy
	ports         usedPorts
	configVersion int
	// firstKeyRevoked and lastKeyRevoked report whether revokedKey and lastKey are revoked.
	firstKeyRevoked, lastKeyRevoked bool
	// crashes counts the workers that crashed while they ran the crashing request.
	crashes atomic.Int64
	// part is what became of requests with the crashing part.
	part partRecord
	// restartMu is held while crashed workers are restarted, restarts counts them.
	restartMu sync.Mutex
	// replaceMu is held while the process of a worker is replaced by one of another version.
	replaceMu sync.Mutex
	restarts  int
	// cuts are the connections of routers that are cut.
	cuts cuts
	// released are the workers of the services that workers of another version join, steps counts their streams.
	released [releases]releaseWorkers
	steps    stepCounts
	// entryStates are the states in the workers' entries, by index.
	entriesMu   sync.Mutex
	entryStates map[int]string
	// removed are the ids under which no worker serves any more.
	removed []string
}

// newFleet starts the store, the workers and the routers. small is the index of the router with little processor
// capacity, or noRouter.
func newFleet(binary, dir string, routers, small int) (*fleet, error) {
	f := &fleet{binary: binary, dir: dir, store: standin.NewStore(), ports: usedPorts{}, entryStates: map[int]string{}}
	f.publishConfig()
	for i := range workers {
		if err := f.addWorker(i); err != nil {
			return f, err
		}
	}
	for n := range releases {
		if err := f.startReleaseWorker(n, versions[0]); err != nil {
			return f, err
		}
	}
	for i := range routers {
		if err := f.addRouter(i); err != nil {
			return f, err
		}
		f.routers[i].small = i == small
	}
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return f, err
		}
	}
	return f, nil
}

// versions are the software versions of the workers, which they have in turn.
var versions = []string{"v1", "v1.1"}

// serviceOf returns the service of a worker, given its index.
func serviceOf(worker int) string {
	if worker < streamWorkers {
		return "reader"
	}
	return "desk"
}

func (f *fleet) addWorker(i int) error {
	n := 0
	if i < streamWorkers {
		n = events
	}
	w, err := standin.StartWorker(fmt.Sprintf("i-%d", i), n, eventInterval)
	if err != nil {
		return err
	}
	w.Version, w.TagEvents = versions[i%len(versions)], true
	f.workers = append(f.workers, w)
	w.SendComments(commentOneIn)
	w.CrashOn(crashBody, func() { f.crashes.Add(1) })
	link, err := newProxy(w.Address())
	if err != nil {
		return err
	}
	f.links = append(f.links, link)
	f.publishEntry(i, standin.Ready)
	return nil
}

// publishEntry writes a worker's entry to the store. The address is that of the proxy in front of
// the worker.
func (f *fleet) publishEntry(i int, state string) {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	f.entryStates[i] = state
	f.putEntry(i)
}

// republishEntry writes a worker's entry again, with its state unchanged.
func (f *fleet) republishEntry(i int) {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	f.putEntry(i)
}

// removeEntry removes the entry of a worker that has gone.
func (f *fleet) removeEntry(id string) {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	f.removed = append(f.removed, id)
	f.store.Deregister(id)
}

// removeRestored removes the entries of workers that have gone which a restored store lists again.
func (f *fleet) removeRestored() {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	for _, id := range f.removed {
		if f.store.Lists(id) {
			f.store.Deregister(id)
		}
	}
}

// putEntry writes a worker's entry. The caller holds f.entriesMu.
func (f *fleet) putEntry(i int) {
	f.store.Register(f.workers[i], serviceOf(i), f.links[i].address(), f.entryStates[i], slots)
}

func (f *fleet) addRouter(i int) error {
	endpoint, err := f.store.Listen()
	if err != nil {
		return err
	}
	r := &router{name: fmt.Sprintf("r-%d", i), dir: f.dir, endpoint: endpoint}
	for _, address := range []*string{&r.callersAddr, &r.peersAddr, &r.adminAddr} {
		if *address, err = f.ports.freeAddress(randomPort); err != nil {
			return err
		}
	}
	if r.proxy, err = newProxy(r.callersAddr); err != nil {
		return err
	}
	f.routers = append(f.routers, r)
	return nil
}

// Routers listen on ports below the ephemeral range, so that no outgoing connection takes the port
// of a router that is down.
const (
	firstPort    = 15000
	lastPort     = 32000
	maxPortTries = 100
)

var errNoPort = errors.New("soak: no free port on loopback")

func randomPort() int { return firstPort + rand.IntN(lastPort-firstPort) }

// usedPorts are the ports assigned to routers, which may not listen on them yet.
type usedPorts map[int]bool

// freeAddress returns an address that is neither in use nor assigned to a router.
func (p usedPorts) freeAddress(nextPort func() int) (string, error) {
	for range maxPortTries {
		port := nextPort()
		if p[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", address); err == nil {
			p[port] = true
			return address, ln.Close()
		}
	}
	return "", errNoPort
}

func (r *router) settingsFile() string { return filepath.Join(r.dir, r.name+".yaml") }
func (r *router) logFile() string      { return filepath.Join(r.dir, r.name+".log") }

// suspensionFile is the file from which the process reads for how long it was suspended.
func (r *router) suspensionFile() string { return filepath.Join(r.dir, r.name+".suspended") }

// writeSuspended sets the total time that the monotonic clock of the process leaves out. The
// caller holds r.mu.
func (r *router) writeSuspended(d time.Duration) error {
	r.suspended = d
	return os.WriteFile(r.suspensionFile(), binary.LittleEndian.AppendUint64(nil, uint64(d)), 0o600)
}

// suspend stops the process for d and hides that time from its monotonic clock, as a suspended
// machine does.
func (r *router) suspend(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stopped := time.Now()
	_ = r.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = r.writeSuspended(r.suspended + time.Since(stopped))
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
}

// writeSettings writes a new version of the router's settings file.
func (f *fleet) writeSettings(r *router) error {
	r.settingsVersion++
	text := fmt.Sprintf(`name: %s
zone: a
platform_kind: store
platform: %q
seeds: [%q, %q]
retries: {ratio: 0.2, extra: %d, window: 10s}
listen: {callers: %q, peers: %q, admin: %q}
drain_for: %s
drain_notice: 300ms
log_level: info
%s`, r.name, r.endpoint.Address(), f.routers[0].peersAddr, f.routers[1].peersAddr, 100+r.settingsVersion, r.callersAddr, r.peersAddr, r.adminAddr, drainFor, r.machineSettings())
	return replaceFile(r.settingsFile(), text)
}

// replaceFile replaces a file at once, so that no process reads a part of it.
func replaceFile(name, text string) error {
	part, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	_, err = part.WriteString(text)
	if err = errors.Join(err, part.Close()); err != nil {
		return err
	}
	return os.Rename(part.Name(), name)
}

// start starts a router's process.
func (f *fleet) start(r *router) error {
	if err := f.writeSettings(r); err != nil {
		return err
	}
	out, err := os.OpenFile(r.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writeSuspended(0); err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "--settings", r.settingsFile())
	cmd.Env = append(os.Environ(), "YARROWMAST_SOAK_SUSPENDED="+r.suspensionFile(), "YARROWMAST_SOAK_LINKS="+f.linkAddresses(), "YARROWMAST_SOAK_CUT="+r.cutFile())
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

// signal sends a signal to the current process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.cmd.Process.Signal(s)
}

var errStillRunning = errors.New("soak: router did not exit in time")

// awaitExit waits until the process has exited.
func (r *router) awaitExit(ctx context.Context) error {
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	select {
	case <-exited:
		return nil
	case <-ctx.Done():
		return errStillRunning
	}
}

// publishConfig writes a new version of the configuration.
func (f *fleet) publishConfig() {
	f.configVersion += 3
	f.republishConfig()
}

// republishConfig writes the configuration again without a new version.
func (f *fleet) republishConfig() {
	keys := []string{key}
	if !f.firstKeyRevoked {
		keys = append(keys, revokedKey)
	}
	if !f.lastKeyRevoked {
		keys = append(keys, lastKey)
	}
	route := func(kind Kind, repeat, service string) standin.Route {
		return standin.Route{
			Name: string(kind), Kind: repeat, Service: service, Public: kind == Submit, Resumable: kind.isResumable(),
			Attempts: 2, Timeout: 6 * time.Second, TargetLatency: 400 * time.Millisecond, TargetGap: 100 * time.Millisecond,
		}
	}
	accounts := competitorKeys()
	accounts["moka"] = keys
	competing := route(Competing, standin.Streaming, competeService)
	competing.TargetLatency = competeTarget
	c := &standin.Config{
		Version: f.configVersion, Host: host, TokensPerSecond: 600000, Keys: accounts,
		Routes: []standin.Route{
			route(ResumableStream, standin.Streaming, serviceOf(0)), route(PlainStream, standin.Streaming, serviceOf(0)),
			route(Submit, standin.Unsafe, serviceOf(streamWorkers)), route(Lookup, standin.Safe, serviceOf(streamWorkers)), competing,
		},
		Services: []standin.Service{
			{Name: serviceOf(0), Slots: slots, MaxConnections: 500}, {Name: serviceOf(streamWorkers), MaxConnections: 500},
			{Name: competeService, Slots: competeSlots, MaxConnections: 500},
		},
	}
	for n := range releases {
		c.Routes = append(c.Routes, route(releaseKind(n), standin.Streaming, releaseService(n)))
		c.Services = append(c.Services, standin.Service{Name: releaseService(n), Slots: slots, MaxConnections: 500})
	}
	f.store.Configure(c)
}

// runs returns the requests that all workers ran.
func (f *fleet) runs() []standin.Run {
	var list []standin.Run
	for _, w := range f.workers {
		list = append(list, w.Runs()...)
	}
	for n := range f.released {
		for _, w := range f.released[n].list {
			list = append(list, w.Runs()...)
		}
	}
	return list
}

// garbled returns the number of answers beside which workers sent bytes of no event.
func (f *fleet) garbled() int {
	n := 0
	for _, w := range f.workers {
		n += w.Garbled()
	}
	return n
}

// close kills the routers and closes the proxies, the workers and the store.
func (f *fleet) close() {
	for _, r := range f.routers {
		if r.cmd != nil {
			r.signal(syscall.SIGCONT)
			r.signal(syscall.SIGKILL)
			_ = r.awaitExit(context.Background())
		}
		r.proxy.close()
	}
	for _, l := range f.links {
		l.close()
	}
	for _, w := range f.workers {
		w.Close()
	}
	for n := range f.released {
		for _, w := range f.released[n].list {
			w.Close()
		}
	}
	f.store.Close()
}

// logPattern returns the glob pattern of the routers' log files.
func (f *fleet) logPattern() string { return strings.Join([]string{f.dir, "r-*.log"}, "/") }
