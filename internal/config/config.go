// Package config reads the settings of a router from a YAML file. Unknown fields are errors.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
)

// Listen holds the listen addresses of a router, each an IP address and port.
type Listen struct {
	// Callers is the address for requests of clients. Required.
	Callers string `yaml:"callers"`
	// Peers is the address for other routers. Required.
	Peers string `yaml:"peers"`
	// Admin is the address of the admin API. Required.
	Admin string `yaml:"admin"`
	// Readiness is a second address for the readiness check of load balancers. Default none:
	// only Admin serves it.
	Readiness string `yaml:"readiness"`
}

// TLS names the key files of one listener. All empty means no TLS.
type TLS struct {
	// Cert and Key are PEM files. Set both or neither.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// CA is a PEM file. If set, the other side must present a certificate signed by this
	// CA. Required for peers.
	CA string `yaml:"ca"`
}

// TLSAll holds the TLS settings of each listener.
type TLSAll struct {
	Callers TLS `yaml:"callers"`
	Peers   TLS `yaml:"peers"`
	Admin   TLS `yaml:"admin"`
}

// Callers holds the limits for clients.
type Callers struct {
	// MaxBodyBytes limits the request body. Default 8388608.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes limits the request header. Default 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// DefaultDeadline applies to requests without a deadline. Default 5m.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	// IOTimeout limits one read or write on a client connection. Default 30s.
	IOTimeout time.Duration `yaml:"slow_caller"`
	// MaxOpen limits the open requests. Default 20000.
	MaxOpen int64 `yaml:"max_open"`
	// MaxEventDelay is the time within which a stream event of a backend server must reach
	// the client. Default 200ms.
	MaxEventDelay time.Duration `yaml:"pass_within"`
}

// Backends holds the limits for backend servers.
type Backends struct {
	// IdleTimeout limits the time between two reads of a response. Default 60s.
	IdleTimeout time.Duration `yaml:"idle"`
	// MaxResponseBytes limits a response that is not streamed. Default 33554432.
	MaxResponseBytes int64 `yaml:"max_answer_bytes"`
}

// Objectives are the service-level objectives for the burn-rate report.
type Objectives struct {
	// FirstToken is the target for the time to the first token. Default 1.3s.
	FirstToken time.Duration `yaml:"first_token"`
	// BetweenTokens is the target for the mean time between tokens. Default 30ms.
	BetweenTokens time.Duration `yaml:"between_tokens"`
	// LatencyPercent is the percentage of requests that must meet each target. Default 95.
	LatencyPercent float64 `yaml:"latency_percent"`
	// AvailabilityPercent is the percentage of requests that must not fail. Default 99.9.
	AvailabilityPercent float64 `yaml:"availability_percent"`
	// RefusalPercent is the percentage of requests that must not be refused. Default 99.
	RefusalPercent float64 `yaml:"refusal_percent"`
}

// Retries is the retry budget of each service across the fleet.
type Retries struct {
	// Ratio is the number of retries per request of the service. Default 0.1.
	Ratio float64 `yaml:"ratio"`
	// Extra is the number of additional retries per window. Default 20.
	Extra float64 `yaml:"extra"`
	// Window is the time over which requests and retries are counted. Default 10s.
	Window time.Duration `yaml:"window"`
}

// Machine holds the resource limits of the router. Zero means unset.
type Machine struct {
	// Processors is the number of processors, such as 0.4.
	Processors float64 `yaml:"processors"`
	// MemoryMB is the memory in megabytes.
	MemoryMB int64 `yaml:"memory_mb"`
	// Descriptors limits the open files and sockets.
	Descriptors int64 `yaml:"descriptors"`
}

// Settings are the settings of one router.
type Settings struct {
	// Name is unique in the fleet. Required.
	Name string `yaml:"name"`
	// Zone is the availability zone. Required.
	Zone string `yaml:"zone"`
	// Regions holds the region of each availability zone of the fleet. Requests that the table
	// restricts to some regions need it. Default none.
	Regions map[string]string `yaml:"regions"`
	// Platform is the IP address and port of the platform. Required.
	Platform string `yaml:"platform"`
	// PlatformKind selects the platform client: values, or the name of one that is compiled
	// in. Default values.
	PlatformKind string `yaml:"platform_kind"`
	// Seeds are peer addresses of some routers, for platforms that list none. They may be
	// down. Default none.
	Seeds []string `yaml:"seeds"`
	// ApplyWithin is the time within which all routers must apply a change at the platform.
	// Default 2s.
	ApplyWithin time.Duration `yaml:"apply_within"`
	// History is how long the platform keeps past changes. Default none, or what the platform client states.
	History time.Duration `yaml:"history"`
	// Retries is the retry budget.
	Retries Retries `yaml:"retries"`
	// Machine holds the resource limits. Default none.
	Machine Machine `yaml:"machine"`
	// Listen holds the listen addresses.
	Listen Listen `yaml:"listen"`
	// TLS holds the key files of each listener. Default none.
	TLS TLSAll `yaml:"tls"`
	// Callers holds the limits for clients.
	Callers Callers `yaml:"callers"`
	// Backends holds the limits for backend servers.
	Backends Backends `yaml:"backends"`
	// Objectives are the service-level objectives.
	Objectives Objectives `yaml:"objectives"`
	// DrainFor limits how long requests may continue after a stop signal. Default 10m.
	DrainFor time.Duration `yaml:"drain_for"`
	// DrainNotice is how long a stopping router still accepts requests while it reports
	// itself as not ready, so that load balancers can remove it. Default 0.
	DrainNotice time.Duration `yaml:"drain_notice"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"log_level"`
}

// PlatformValues is the platform kind that publishes named values.
const PlatformValues = "values"

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		PlatformKind: PlatformValues,
		ApplyWithin:  2 * time.Second,
		Retries:      Retries{Ratio: 0.1, Extra: 20, Window: 10 * time.Second},
		Callers: Callers{
			MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10, DefaultDeadline: 5 * time.Minute,
			IOTimeout: 30 * time.Second, MaxOpen: 20_000, MaxEventDelay: 200 * time.Millisecond,
		},
		Backends: Backends{IdleTimeout: time.Minute, MaxResponseBytes: 32 << 20},
		Objectives: Objectives{
			FirstToken: 1300 * time.Millisecond, BetweenTokens: 30 * time.Millisecond,
			LatencyPercent: 95, AvailabilityPercent: 99.9, RefusalPercent: 99,
		},
		DrainFor: 10 * time.Minute,
		LogLevel: "info",
	}
}

// Load reads and checks the settings in a file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, data)
}

// Parse reads and checks settings. Its error is a *strictyaml.Problems that lists all problems.
func Parse(file string, data []byte) (Settings, error) {
	s := Defaults()
	d := strictyaml.Decode(file, data, &s)
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	s.check(d)
	return s, d.Err()
}

func (s *Settings) check(d *strictyaml.Doc) {
	required(d, s.Name, "name")
	required(d, s.Zone, "zone")
	address(d, s.Platform, "platform")
	address(d, s.Listen.Callers, "listen", "callers")
	address(d, s.Listen.Peers, "listen", "peers")
	address(d, s.Listen.Admin, "listen", "admin")
	for zone, region := range s.Regions {
		if zone == "" || region == "" {
			d.Add("needs the name of a region for each zone", "regions", zone)
		}
	}
	for i, seed := range s.Seeds {
		address(d, seed, "seeds", i)
	}
	if !(s.Machine.Processors >= 0) || s.Machine.MemoryMB < 0 || s.Machine.Descriptors < 0 {
		d.Add("must not be negative", "machine")
	}
	positive(d, int64(s.ApplyWithin), "apply_within")
	if s.History < 0 {
		d.Add("must not be negative", "history")
	}
	positive(d, int64(s.Retries.Window), "retries", "window")
	if !(s.Retries.Ratio >= 0) || !(s.Retries.Extra >= 0) {
		d.Add("must not be negative", "retries")
	}
	if s.Listen.Readiness != "" {
		address(d, s.Listen.Readiness, "listen", "readiness")
	}
	if s.DrainNotice < 0 {
		d.Add("must not be negative", "drain_notice")
	}
	s.TLS.Callers.check(d, "callers")
	s.TLS.Peers.check(d, "peers")
	s.TLS.Admin.check(d, "admin")
	if s.TLS.Peers.Cert != "" && s.TLS.Peers.CA == "" {
		d.Add("is missing; routers authenticate each other, so name the CA file", "tls", "peers", "ca")
	}
	positive(d, s.Callers.MaxBodyBytes, "callers", "max_body_bytes")
	positive(d, int64(s.Callers.MaxHeaderBytes), "callers", "max_header_bytes")
	positive(d, int64(s.Callers.DefaultDeadline), "callers", "default_deadline")
	positive(d, int64(s.Callers.IOTimeout), "callers", "slow_caller")
	positive(d, s.Callers.MaxOpen, "callers", "max_open")
	positive(d, int64(s.Callers.MaxEventDelay), "callers", "pass_within")
	positive(d, int64(s.Backends.IdleTimeout), "backends", "idle")
	positive(d, s.Backends.MaxResponseBytes, "backends", "max_answer_bytes")
	positive(d, int64(s.DrainFor), "drain_for")
	s.Objectives.check(d)
	s.checkLevel(d)
}

func (s *Settings) checkLevel(d *strictyaml.Doc) {
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		d.Add(fmt.Sprintf("%q is unknown; must be debug, info, warn or error", s.LogLevel), "log_level")
	}
}

func (o *Objectives) check(d *strictyaml.Doc) {
	positive(d, int64(o.FirstToken), "objectives", "first_token")
	positive(d, int64(o.BetweenTokens), "objectives", "between_tokens")
	percent(d, o.LatencyPercent, "latency_percent")
	percent(d, o.AvailabilityPercent, "availability_percent")
	percent(d, o.RefusalPercent, "refusal_percent")
}

func (t *TLS) check(d *strictyaml.Doc, listener string) {
	if (t.Cert == "") != (t.Key == "") {
		d.Add("needs both cert and key, or neither", "tls", listener)
	}
	for _, f := range []struct{ field, path string }{{"cert", t.Cert}, {"key", t.Key}, {"ca", t.CA}} {
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			d.Add(fmt.Sprintf("cannot be read: %v", err), "tls", listener, f.field)
		}
	}
}

func required(d *strictyaml.Doc, value string, path ...any) {
	if value == "" {
		d.Add("is missing", path...)
	}
}

func address(d *strictyaml.Doc, value string, path ...any) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.Add(fmt.Sprintf("%q is not an IP address and port, such as 127.0.0.1:8080; host names are not accepted", value), path...)
	}
}

func positive(d *strictyaml.Doc, value int64, path ...any) {
	if value <= 0 {
		d.Add("must be positive", path...)
	}
}

func percent(d *strictyaml.Doc, value float64, field string) {
	if !(value > 0 && value < 100) {
		d.Add(fmt.Sprintf("is %v; must be above 0 and below 100", value), "objectives", field)
	}
}
