// Package table defines the operators' table of client accounts, backend servers, routes, services
// and availability zones. If any part of a table is invalid, the table is rejected.
package table

import "time"

// Mark is the state that operators assign to a backend server. The values are the states
// of the chart in pkg/chart/backend.yaml.
type Mark string

// The marks of backend servers.
const (
	Joining  Mark = "joining"
	Serving  Mark = "serving"
	Leaving  Mark = "leaving"
	Stopping Mark = "stopping"
)

// Kind is the kind of a backend server.
type Kind string

// The kinds of backend servers.
const (
	// Engine is a model engine with the completions API.
	Engine Kind = "engine"
	// Service is a plain HTTP service.
	Service Kind = "service"
)

// Limits bound an account's use of the fleet. Zero means no limit,
// except for Queued, where zero means DefaultQueued.
type Limits struct {
	// RequestsPerSecond is the rate of admitted requests; never negative.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// TokensPerSecond is the rate of served tokens; never negative.
	TokensPerSecond float64 `yaml:"tokens_per_second" json:"tokens_per_second"`
	// InFlight is the number of requests running at once; never negative.
	InFlight int `yaml:"in_flight" json:"in_flight"`
	// Queued is the number of requests waiting at one entry instance; never negative.
	Queued int `yaml:"queued" json:"queued"`
}

// DefaultQueued is the default of Limits.Queued.
const DefaultQueued = 1000

// Account is the row of a client account.
type Account struct {
	// Name is unique in the table and not empty.
	Name string `yaml:"name" json:"name"`
	// Weight is the account's share relative to other accounts; finite, above zero.
	Weight float64 `yaml:"weight" json:"weight"`
	// Priority orders requests that are otherwise equal; from 0 to 9.
	Priority int `yaml:"priority" json:"priority"`
	// KeySHA256 is the SHA-256 of the account's key in hex; unique.
	KeySHA256 string `yaml:"key_sha256" json:"-"`
	// MoreKeys are the SHA-256 of further keys in hex; unique.
	MoreKeys []string `yaml:"more_keys_sha256" json:"-"`
	// Rank orders waiting requests, before their route's rank: lower goes
	// first.
	Rank   int    `yaml:"rank" json:"rank"`
	Limits Limits `yaml:"limits" json:"limits"`
	// Regions lists the regions in which the account's requests may be processed; empty means
	// all.
	Regions []string `yaml:"regions" json:"regions,omitempty" msgpack:"-"`
}

// Backend is the row of a backend server.
type Backend struct {
	// Name is unique in the table and not empty.
	Name string `yaml:"name" json:"name"`
	// Zone is the backend server's availability zone.
	Zone string `yaml:"zone" json:"zone"`
	// Address is an IP address and port.
	Address string `yaml:"address" json:"address"`
	// Kind is engine or service.
	Kind Kind `yaml:"kind" json:"kind"`
	// Models lists the models, or the service's name; not empty.
	Models []string `yaml:"models" json:"models"`
	// Slots is the number of requests that may run at once; above zero.
	Slots int `yaml:"slots" json:"slots"`
	// Mark is the operators' mark.
	Mark Mark `yaml:"mark" json:"mark"`
	// ChecksFences reports whether the backend server rejects requests with stale fencing tokens.
	ChecksFences bool `yaml:"checks_fences" json:"checks_fences"`
	// Version is the version of the software that the backend server runs, "" if it states none.
	// Versions have no order. VersionUnknown says that the router that sent the row left it out.
	// Between routers both travel apart from the rows, whose encoding never changes.
	Version        string `yaml:"version" json:"version,omitempty" msgpack:"-"`
	VersionUnknown bool   `yaml:"-" json:"version_unknown,omitempty" msgpack:"-"`
	// WarmupLeft is the remaining warm-up time as of when the router received the row. Until
	// then the backend server takes requests only at its service's WarmupRate.
	WarmupLeft time.Duration `yaml:"-" json:"warmup_left,omitempty"`
	// StartTime is in Unix milliseconds by the server's clock; 0 if unknown.
	StartTime int64 `yaml:"-" json:"born,omitempty"`
}

// Table is one version of the operators' table. It is immutable after parsing, so goroutines
// may share it.
type Table struct {
	// Revision is the platform's revision of the value. It grows, except when the platform is
	// restored from a backup.
	Revision uint64 `yaml:"-" json:"revision"`
	// Edition is the version number that operators assign. It always grows, also when the
	// platform is restored; 0 if they assign none.
	Edition uint64 `yaml:"-" json:"edition,omitempty"`
	// Accounts is in the order of the file.
	Accounts []Account `yaml:"accounts" json:"accounts"`
	// Backends is in the order of the file. AllBackends also yields those of the directory.
	Backends []Backend `yaml:"backends" json:"backends"`
	// Routes is in the order of the file.
	Routes []Route `yaml:"routes" json:"routes"`
	// Services is in the order of the file.
	Services []ServiceRow `yaml:"services" json:"services"`
	// Zones lists the availability zones that operators have marked.
	Zones []ZoneRow `yaml:"zones" json:"zones,omitempty"`
	// Bounds limit what callers may send.
	Bounds Bounds `yaml:"bounds" json:"bounds"`

	// directory holds the backend servers that publish themselves.
	directory Directory

	accounts map[string]int
	backends map[string]int
	keys     map[string]int
	hosts    map[string][]int
	// routeNames holds the index of each route by name.
	routeNames map[string]int
	services   map[string]int
	// closedZones are the names of the closed availability zones.
	closedZones map[string]bool
}

// Version orders the versions of a table.
type Version struct{ Edition, Revision uint64 }

// Version returns the table's version.
func (t *Table) Version() Version { return Version{t.Edition, t.Revision} }

// NewerThan reports whether v is newer than other: by Edition first, then by Revision.
func (v Version) NewerThan(other Version) bool {
	if v.Edition != other.Edition {
		return v.Edition > other.Edition
	}
	return v.Revision > other.Revision
}

// Account returns the row of the named account.
func (t *Table) Account(name string) (Account, bool) {
	i, ok := t.accounts[name]
	if !ok {
		return Account{}, false
	}
	return t.Accounts[i], true
}

// AccountByKeyHash returns the row with a key of the given SHA-256 hash in hex. Since the
// lookup uses a hash, its timing does not reveal the key.
func (t *Table) AccountByKeyHash(hash string) (Account, bool) {
	i, ok := t.keys[hash]
	if !ok {
		return Account{}, false
	}
	return t.Accounts[i], true
}

// Backend returns the row of the named backend server.
func (t *Table) Backend(name string) (Backend, bool) {
	if b, ok := t.directory.Get(name); ok {
		return *b, true
	}
	i, ok := t.backends[name]
	if !ok {
		return Backend{}, false
	}
	return t.Backends[i], true
}

// HasModel reports whether any backend server lists the model.
func (t *Table) HasModel(model string) bool {
	for b := range t.AllBackends() {
		if b.Serves(model) {
			return true
		}
	}
	return false
}

// Serves reports whether the backend server lists the model.
func (b *Backend) Serves(model string) bool {
	for _, m := range b.Models {
		if m == model {
			return true
		}
	}
	return false
}

// Index builds the lookup maps. Parse, ParsePages and Apply call it; callers that build a Table
// themselves must call it.
func (t *Table) Index() {
	t.accounts = make(map[string]int, len(t.Accounts))
	t.keys = make(map[string]int, len(t.Accounts))
	for i, a := range t.Accounts {
		t.accounts[a.Name] = i
		if a.KeySHA256 != "" {
			t.keys[a.KeySHA256] = i
		}
		for _, key := range a.MoreKeys {
			t.keys[key] = i
		}
	}
	t.backends = make(map[string]int, len(t.Backends))
	for i, b := range t.Backends {
		t.backends[b.Name] = i
	}
	t.indexRoutes()
	t.indexZones()
}
