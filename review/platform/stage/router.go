package stage

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Router is a router process, which the command of the deploy file starts.
type Router struct {
	Name, Zone string
	// Callers, Peers, Admin and Readiness are the addresses on which it listens.
	Callers, Peers, Admin, Readiness string

	root, dir string
	cmd       *exec.Cmd
	exited    chan struct{}
}

// Bounds are the figures of the platform's settings that the template of the settings uses.
type Bounds struct {
	ConfigApplyMs, PassMs, BudgetExtra, BudgetWindowS, GraceS int
	BudgetRatio                                               float64
	Processors                                                float64
	MemoryMB, Descriptors                                     int
	// Zones are the availability zones, all of one region.
	Region string
	Zones  []string
}

// zoneMap returns the zones with their regions as JSON.
func (b *Bounds) zoneMap() string {
	var list []string
	for _, zone := range b.Zones {
		list = append(list, fmt.Sprintf("%q:%q", zone, b.Region))
	}
	return "{" + strings.Join(list, ",") + "}"
}

// NewRouter chooses the addresses of a router. root is the root of the repository, dir a folder for
// its settings and its log.
func NewRouter(root, dir, name, zone string) (*Router, error) {
	r := &Router{Name: name, Zone: zone, root: root, dir: dir}
	for _, address := range []*string{&r.Callers, &r.Peers, &r.Admin, &r.Readiness} {
		free, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return r, nil
}

// given are the addresses that FreeAddress has returned.
var given = map[string]bool{}

// The ports lie below those that the kernel gives to outgoing connections.
const (
	firstPort = 18000
	lastPort  = 31000
)

var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress() (string, error) {
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		ln, err := net.Listen("tcp", address)
		if err != nil || given[address] {
			continue
		}
		given[address] = true
		return address, ln.Close()
	}
	return "", fmt.Errorf("no free port on loopback")
}

// settingsFile returns the path of the router's settings.
func (r *Router) settingsFile() string { return filepath.Join(r.dir, r.Name+".yaml") }

// LogFile returns the path of the router's log.
func (r *Router) LogFile() string { return filepath.Join(r.dir, r.Name+".log") }

// WriteSettings fills in the project's template as the platform does.
func (r *Router) WriteSettings(store string, seeds []string, b *Bounds) error {
	template, err := os.ReadFile(filepath.Join(r.root, "deploy", "settings.yaml"))
	if err != nil {
		return err
	}
	host, adminPort, err := net.SplitHostPort(r.Admin)
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{nodeName}}", r.Name, "{{zone}}", r.Zone, "{{zones|json}}", b.zoneMap(), "{{platform.address}}", store,
		"{{seeds|json}}", `["`+strings.Join(seeds, `","`)+`"]`,
		"{{bounds.configApplyMs}}", fmt.Sprint(b.ConfigApplyMs), "{{bounds.passMs}}", fmt.Sprint(b.PassMs),
		"{{bounds.retryBudgetRatio}}", fmt.Sprint(b.BudgetRatio), "{{bounds.budgetExtra}}", fmt.Sprint(b.BudgetExtra),
		"{{bounds.budgetWindowS}}", fmt.Sprint(b.BudgetWindowS), "{{bounds.graceS}}", fmt.Sprint(b.GraceS),
		"{{limits.cpuShare}}", fmt.Sprint(b.Processors), "{{limits.memoryMb}}", fmt.Sprint(b.MemoryMB), "{{limits.maxFds}}", fmt.Sprint(b.Descriptors),
		"{{listen.front}}", r.Callers, "{{listen.control}}", r.Peers, "{{listen.readiness}}", r.Readiness,
		"{{ip}}", host, "{{internalPorts.0}}", adminPort,
	).Replace(string(template))
	if i := strings.Index(text, "{{"); i >= 0 {
		return fmt.Errorf("the template of the settings has a gap that the script does not fill: %.40s", text[i:])
	}
	return os.WriteFile(r.settingsFile(), []byte(text), 0o600)
}

// Start starts the process.
func (r *Router) Start() error {
	out, err := os.OpenFile(r.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/yarrowmast", "--settings", r.settingsFile())
	cmd.Dir = r.root
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	r.cmd, r.exited = cmd, exited
	return nil
}

// Signal sends the process a signal.
func (r *Router) Signal(s syscall.Signal) { _ = r.cmd.Process.Signal(s) }

// Kill ends the process and waits for its end.
func (r *Router) Kill() {
	if r.cmd == nil {
		return
	}
	r.Signal(syscall.SIGCONT)
	r.Signal(syscall.SIGKILL)
	<-r.exited
}

// Exited reports whether the process has ended.
func (r *Router) Exited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the router says that it is ready.
func (r *Router) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.Readiness + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", r.Name, limit)
}
