package table

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Repeat says how often a request of a route may run.
type Repeat string

// The values of Repeat.
const (
	// RepeatNever lets a request run at most once.
	RepeatNever Repeat = "never"
	// RepeatSafe lets a request run again after any failure.
	RepeatSafe Repeat = "safe"
	// RepeatResume lets a stream be taken up at another backend server after
	// the last event that was passed on.
	RepeatResume Repeat = "resume"
)

// Target is a service that a route leads to.
type Target struct {
	// Service is the name of the service or model.
	Service string `yaml:"service" json:"service"`
	// Weight is the service's part of the route's requests; above zero.
	Weight float64 `yaml:"weight" json:"weight"`
}

// Route says how the requests of a host and path prefix are served.
type Route struct {
	// Name is unique in the table and not empty.
	Name string `yaml:"name" json:"name"`
	// Host is the callers' host name without a port, in lower case.
	Host string `yaml:"host" json:"host"`
	// Prefix begins the path; it begins and ends with a slash.
	Prefix string `yaml:"prefix" json:"prefix"`
	// Targets lists the services; not empty.
	Targets []Target `yaml:"targets" json:"targets"`
	// Repeat says how often a request may run. Default never.
	Repeat Repeat `yaml:"repeat" json:"repeat"`
	// Stream says that answers are streams of events.
	Stream bool `yaml:"stream" json:"stream"`
	// Timeout is the longest time that a request is held; 0 means no bound
	// besides its own deadline.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// TargetLatency is the time within which the first event of a stream, or the
	// whole answer, is worth most; 0 means not stated.
	TargetLatency time.Duration `yaml:"target" json:"target"`
	// TargetGap is the longest pause between events that is in time; 0 means not
	// stated.
	TargetGap time.Duration `yaml:"pause" json:"pause"`
	// Attempts is to how many backend servers one request may be sent; 0
	// means DefaultAttempts.
	Attempts int `yaml:"attempts" json:"attempts"`
	// Rank orders waiting requests: lower ranks go first.
	Rank int `yaml:"rank" json:"rank"`
	// Public routes need no key.
	Public bool `yaml:"public" json:"public"`
}

// DefaultAttempts is how many backend servers may be tried where a route does
// not say.
const DefaultAttempts = 3

// MaxAttempts returns to how many backend servers a request may be sent.
func (r *Route) MaxAttempts() int {
	if r.Attempts <= 0 {
		return DefaultAttempts
	}
	return r.Attempts
}

// Pick returns the service of a request whose draw, from 0 up to 1, decides
// among the targets by their weights.
func (r *Route) Pick(draw float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	left := draw * sum
	for _, t := range r.Targets {
		left -= t.Weight
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// ServiceRow is the row of a service that routes lead to.
type ServiceRow struct {
	// Name is unique among services and not empty.
	Name string `yaml:"name" json:"name"`
	// Health is the path of the health check; "" means none.
	Health string `yaml:"health" json:"health"`
	// MaxConnections is how many connections each backend server takes from
	// all routers together; 0 means not stated.
	MaxConnections int `yaml:"max_connections" json:"max_connections"`
	// Engine says that its backend servers are model engines.
	Engine bool `yaml:"engine" json:"engine"`
	// WarmupRate is how many requests a second a backend server bears while it
	// warms up; 0 means that none does.
	WarmupRate float64 `yaml:"warmup_rate" json:"warmup_rate,omitempty"`
	// WarmupTime is for how long one warms up after its start.
	WarmupTime time.Duration `yaml:"warmup_time" json:"warmup_time,omitempty"`
	// CacheTokens is the memory of one backend server for prompts, in
	// tokens; 0 means not stated.
	CacheTokens int64 `yaml:"cache_tokens" json:"cache_tokens"`
}

// Bounds limit what callers may send, beside the router's own settings. Zero
// means not stated.
type Bounds struct {
	// HeaderBytes is the largest request header.
	HeaderBytes int `yaml:"header_bytes" json:"header_bytes"`
	// BodyBytes is the largest request body.
	BodyBytes int64 `yaml:"body_bytes" json:"body_bytes"`
	// HeaderTime is how long a caller may take to send a header.
	HeaderTime time.Duration `yaml:"header_time" json:"header_time"`
	// IdleTime is how long a connection may rest between requests.
	IdleTime time.Duration `yaml:"idle_time" json:"idle_time"`
	// TokensPerSecond is roughly what all engines give together, where a
	// token read counts once and a token made twice.
	TokensPerSecond float64 `yaml:"tokens_per_second" json:"tokens_per_second"`
}

// RouteFor returns the route of the host whose prefix is the longest that
// begins the path.
func (t *Table) RouteFor(host, path string) (*Route, bool) {
	for _, i := range t.hosts[CanonicalHost(host)] {
		if strings.HasPrefix(path, t.Routes[i].Prefix) {
			return &t.Routes[i], true
		}
	}
	return nil, false
}

// CanonicalHost returns a Host header's name in lower case without its port.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// indexRoutes orders the routes of each host by falling length of prefix.
func (t *Table) indexRoutes() {
	t.hosts = make(map[string][]int)
	for i := range t.Routes {
		host := CanonicalHost(t.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], i)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b int) int {
			return cmp.Compare(len(t.Routes[b].Prefix), len(t.Routes[a].Prefix))
		})
	}
	t.services = make(map[string]int, len(t.Services))
	for i, s := range t.Services {
		t.services[s.Name] = i
	}
}

// ServiceByName returns the row of the named service.
func (t *Table) ServiceByName(name string) (ServiceRow, bool) {
	i, ok := t.services[name]
	if !ok {
		return ServiceRow{}, false
	}
	return t.Services[i], true
}
