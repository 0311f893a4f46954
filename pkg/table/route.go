package table

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Repeat is the retry policy of a route.
type Repeat string

// The values of Repeat.
const (
	// RepeatNever allows a request to run at most once.
	RepeatNever Repeat = "never"
	// RepeatSafe allows a request to run again after any failure.
	RepeatSafe Repeat = "safe"
	// RepeatResume allows another backend server to continue a stream after the last
	// event that was forwarded.
	RepeatResume Repeat = "resume"
)

// Target is a service that serves a route.
type Target struct {
	// Service is the name of the service or model.
	Service string `yaml:"service" json:"service"`
	// Weight is the service's share of the route's requests, relative to the other targets;
	// above zero.
	Weight float64 `yaml:"weight" json:"weight"`
}

// Route defines how requests with a host and path prefix are served.
type Route struct {
	// Name is unique in the table and not empty.
	Name string `yaml:"name" json:"name"`
	// Host is the host name that callers use, without a port.
	Host string `yaml:"host" json:"host"`
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string `yaml:"prefix" json:"prefix"`
	// Targets lists the services; not empty.
	Targets []Target `yaml:"targets" json:"targets"`
	// Repeat is the retry policy. Default never.
	Repeat Repeat `yaml:"repeat" json:"repeat"`
	// Stream reports that responses are event streams.
	Stream bool `yaml:"stream" json:"stream"`
	// Timeout is the longest time to serve a request; 0 means no limit
	// but the request's own deadline.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// TargetLatency is the desired time to the first event of a stream, or to the
	// complete response; 0 means not stated.
	TargetLatency time.Duration `yaml:"target" json:"target"`
	// TargetGap is the longest desired time between events; 0 means not
	// stated.
	TargetGap time.Duration `yaml:"pause" json:"pause"`
	// Attempts is the number of backend servers to which a request may be sent; 0
	// means DefaultAttempts.
	Attempts int `yaml:"attempts" json:"attempts"`
	// Rank orders waiting requests: lower ranks go first.
	Rank int `yaml:"rank" json:"rank"`
	// Public routes need no key.
	Public bool `yaml:"public" json:"public"`
	// Regions lists the regions in which requests may be processed; empty means all.
	Regions []string `yaml:"regions" json:"regions,omitempty" msgpack:"-"`
}

// DefaultAttempts is the number of attempts if a route does not set it.
const DefaultAttempts = 3

// MaxAttempts returns the number of backend servers to which a request may be sent.
func (r *Route) MaxAttempts() int {
	if r.Attempts <= 0 {
		return DefaultAttempts
	}
	return r.Attempts
}

// Pick selects a service by the weights of the targets. The caller passes a random number in
// [0, 1).
func (r *Route) Pick(random float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	left := random * sum
	for _, t := range r.Targets {
		left -= t.Weight
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// ServiceRow is the row of a service.
type ServiceRow struct {
	// Name is unique among services and not empty.
	Name string `yaml:"name" json:"name"`
	// Health is the path of the health check; "" means none.
	Health string `yaml:"health" json:"health"`
	// MaxConnections is the number of connections that each backend server accepts from
	// all routers together; 0 means not stated.
	MaxConnections int `yaml:"max_connections" json:"max_connections"`
	// Engine reports that its backend servers are model engines.
	Engine bool `yaml:"engine" json:"engine"`
	// WarmupRate is the number of requests per second that a backend server can take while
	// it warms up; 0 means that the servers need no warm-up.
	WarmupRate float64 `yaml:"warmup_rate" json:"warmup_rate,omitempty"`
	// WarmupTime is how long a backend server warms up after its start.
	WarmupTime time.Duration `yaml:"warmup_time" json:"warmup_time,omitempty"`
	// CacheTokens is the capacity of a backend server's prompt cache in
	// tokens; 0 means not stated.
	CacheTokens int64 `yaml:"cache_tokens" json:"cache_tokens"`
}

// Bounds limit what callers may send, in addition to the router's settings. Zero
// means not stated.
type Bounds struct {
	// HeaderBytes is the largest request header.
	HeaderBytes int `yaml:"header_bytes" json:"header_bytes"`
	// BodyBytes is the largest request body.
	BodyBytes int64 `yaml:"body_bytes" json:"body_bytes"`
	// HeaderTime is how long a caller may take to send a header.
	HeaderTime time.Duration `yaml:"header_time" json:"header_time"`
	// IdleTime is how long a connection may be idle between requests.
	IdleTime time.Duration `yaml:"idle_time" json:"idle_time"`
	// TokensPerSecond is the approximate throughput of all engines together. A prompt
	// token counts once and an output token twice.
	TokensPerSecond float64 `yaml:"tokens_per_second" json:"tokens_per_second"`
}

// RouteFor returns the route of the host with the longest prefix of the path.
func (t *Table) RouteFor(host, path string) (*Route, bool) {
	for _, i := range t.hosts[CanonicalHost(host)] {
		if strings.HasPrefix(path, t.Routes[i].Prefix) {
			return &t.Routes[i], true
		}
	}
	return nil, false
}

// CanonicalHost returns the host name of a Host header in lower case, without the port.
func CanonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// indexRoutes indexes services by name, and routes by host with the longest prefix first.
func (t *Table) indexRoutes() {
	t.hosts = make(map[string][]int)
	t.routeNames = make(map[string]int, len(t.Routes))
	for i := range t.Routes {
		t.routeNames[t.Routes[i].Name] = i
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
