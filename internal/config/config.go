// Package config reads a router's settings: a YAML file in which unknown
// fields are errors and every default is stated here.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
)

// Listen is where a router listens; each is an IP number and port.
type Listen struct {
	// Callers is the callers' listener. Required.
	Callers string `yaml:"callers"`
	// Peers is the other routers' listener. Required.
	Peers string `yaml:"peers"`
	// Admin is the operators' listener. Required.
	Admin string `yaml:"admin"`
	// Readiness is a listener for balancers that ask whether the router is
	// ready. Default none: they ask the operators' listener.
	Readiness string `yaml:"readiness"`
}

// TLS names the files of one listener's keys. All empty means no TLS.
type TLS struct {
	// Cert and Key are PEM files; both or neither.
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
	// CA is a PEM file; if given, the other side must show a certificate
	// that it signed. Required for peers.
	CA string `yaml:"ca"`
}

// TLSAll is the TLS of each listener.
type TLSAll struct {
	Callers TLS `yaml:"callers"`
	Peers   TLS `yaml:"peers"`
	Admin   TLS `yaml:"admin"`
}

// Callers bounds what callers may do.
type Callers struct {
	// MaxBodyBytes is the largest body. Default 8388608.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes is the largest header. Default 65536.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// DefaultDeadline is for requests that state none. Default 5m.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	// IOTimeout bounds one read or write. Default 30s.
	IOTimeout time.Duration `yaml:"slow_caller"`
	// MaxOpen bounds the requests open at once. Default 20000.
	MaxOpen int64 `yaml:"max_open"`
	// MaxEventDelay is within what time an event that a backend server sent is to
	// reach its caller. Default 200ms.
	MaxEventDelay time.Duration `yaml:"pass_within"`
}

// Backends bounds what backend servers may do.
type Backends struct {
	// IdleTimeout is how long a stream may stay silent. Default 60s.
	IdleTimeout time.Duration `yaml:"idle"`
	// MaxResponseBytes is the largest whole answer. Default 33554432.
	MaxResponseBytes int64 `yaml:"max_answer_bytes"`
}

// Objectives are the service levels that burn is reported against. Each is
// the share of requests that must meet it, in percent.
type Objectives struct {
	// FirstToken is the time to the first token. Default 1.3s.
	FirstToken time.Duration `yaml:"first_token"`
	// BetweenTokens is the mean time between tokens. Default 30ms.
	BetweenTokens time.Duration `yaml:"between_tokens"`
	// LatencyPercent must meet both times. Default 95.
	LatencyPercent float64 `yaml:"latency_percent"`
	// AvailabilityPercent must be answered. Default 99.9.
	AvailabilityPercent float64 `yaml:"availability_percent"`
	// RefusalPercent is the share that must not be refused. Default 99.
	RefusalPercent float64 `yaml:"refusal_percent"`
}

// Retries are the fleet's allowance of requests that are sent to a service a
// second time, within any window.
type Retries struct {
	// Ratio of the service's requests. Default 0.1.
	Ratio float64 `yaml:"ratio"`
	// Extra besides. Default 20.
	Extra float64 `yaml:"extra"`
	// Window is how long a window is. Default 10s.
	Window time.Duration `yaml:"window"`
}

// Machine is what the router may use of its machine. Zero means not stated.
type Machine struct {
	// Processors is the share of processors, such as 0.4.
	Processors float64 `yaml:"processors"`
	// MemoryMB is the memory in megabytes.
	MemoryMB int64 `yaml:"memory_mb"`
	// Descriptors is how many files and sockets may be open.
	Descriptors int64 `yaml:"descriptors"`
}

// Settings are one router's settings.
type Settings struct {
	// Name is unique in the fleet. Required.
	Name string `yaml:"name"`
	// Zone is the availability zone. Required.
	Zone string `yaml:"zone"`
	// Platform is the IP number and port of the platform. Required.
	Platform string `yaml:"platform"`
	// PlatformKind is how the platform is spoken to: values, or the name of
	// one that the program was built with. Default values.
	PlatformKind string `yaml:"platform_kind"`
	// Seeds are peers' addresses of a few routers, where the platform lists
	// none; they may be down. Default none.
	Seeds []string `yaml:"seeds"`
	// ApplyWithin is within what time a change at the platform is to be in
	// force everywhere. Default 2s.
	ApplyWithin time.Duration `yaml:"apply_within"`
	// Retries are the fleet's allowance of repeats.
	Retries Retries `yaml:"retries"`
	// Machine is what the router may use. Default: what there is.
	Machine Machine `yaml:"machine"`
	// Listen is where the router listens.
	Listen Listen `yaml:"listen"`
	// TLS is the keys of each listener. Default none.
	TLS TLSAll `yaml:"tls"`
	// Callers bounds what callers may do.
	Callers Callers `yaml:"callers"`
	// Backends bounds what backend servers may do.
	Backends Backends `yaml:"backends"`
	// Objectives are the service levels.
	Objectives Objectives `yaml:"objectives"`
	// DrainFor is how long streams may run on at a stop. Default 10m.
	DrainFor time.Duration `yaml:"drain_for"`
	// DrainNotice is how long a router that was asked to stop goes on as
	// before, while balancers notice that it is not ready. Default 0.
	DrainNotice time.Duration `yaml:"drain_notice"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `yaml:"log_level"`
}

// PlatformValues is the kind of platform that publishes named values.
const PlatformValues = "values"

// Defaults returns settings with every default and nothing else.
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

// Parse reads and checks settings. Its error is a *strictyaml.Problems that
// lists everything wrong.
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
	for i, seed := range s.Seeds {
		address(d, seed, "seeds", i)
	}
	if !(s.Machine.Processors >= 0) || s.Machine.MemoryMB < 0 || s.Machine.Descriptors < 0 {
		d.Add("must not be below zero", "machine")
	}
	positive(d, int64(s.ApplyWithin), "apply_within")
	positive(d, int64(s.Retries.Window), "retries", "window")
	if !(s.Retries.Ratio >= 0) || !(s.Retries.Extra >= 0) {
		d.Add("must not be below zero", "retries")
	}
	if s.Listen.Readiness != "" {
		address(d, s.Listen.Readiness, "listen", "readiness")
	}
	if s.DrainNotice < 0 {
		d.Add("must not be below zero", "drain_notice")
	}
	s.TLS.Callers.check(d, "callers")
	s.TLS.Peers.check(d, "peers")
	s.TLS.Admin.check(d, "admin")
	if s.TLS.Peers.Cert != "" && s.TLS.Peers.CA == "" {
		d.Add("is missing; routers prove themselves to each other, so name the authority's file", "tls", "peers", "ca")
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
		d.Add(fmt.Sprintf("%q is unknown; write debug, info, warn or error", s.LogLevel), "log_level")
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

func required(d *strictyaml.Doc, v string, path ...any) {
	if v == "" {
		d.Add("is missing; write one", path...)
	}
}

func address(d *strictyaml.Doc, v string, path ...any) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		d.Add(fmt.Sprintf("%q is no IP number and port, such as 127.0.0.1:8080; host names are not taken", v), path...)
	}
}

func positive(d *strictyaml.Doc, v int64, path ...any) {
	if v <= 0 {
		d.Add("must be above zero", path...)
	}
}

func percent(d *strictyaml.Doc, v float64, field string) {
	if !(v > 0 && v < 100) {
		d.Add(fmt.Sprintf("is %v; write a number above 0 and below 100", v), "objectives", field)
	}
}
