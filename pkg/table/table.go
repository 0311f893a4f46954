// Package table holds the operators' table: a row for each client account and
// a row for each backend server. A table is refused whole or taken whole.
package table

import "time"

// Mark is what operators say of a backend server. Its values are the states
// of the chart in pkg/chart/backend.yaml.
type Mark string

// The marks an operator may write.
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
	// Engine is a model engine with the completions interface.
	Engine Kind = "engine"
	// Service is a plain HTTP service.
	Service Kind = "service"
)

// Limits bound an account's use of the whole fleet. Zero means no limit,
// except for Queued, where zero means DefaultQueued.
type Limits struct {
	// RequestsPerSecond is the rate of admitted requests; never negative.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// TokensPerSecond is the rate of served tokens; never negative.
	TokensPerSecond float64 `yaml:"tokens_per_second" json:"tokens_per_second"`
	// InFlight is the number of requests running at once; never negative.
	InFlight int `yaml:"in_flight" json:"in_flight"`
	// Queued is the number of requests waiting at one entry instance.
	Queued int `yaml:"queued" json:"queued"`
}

// DefaultQueued is how many requests an account may have waiting at one
// entry instance when its row does not say.
const DefaultQueued = 1000

// Account is the row of a client account.
type Account struct {
	// Name is unique in the table and not empty.
	Name string `yaml:"name" json:"name"`
	// Weight is the account's share against others; finite, above zero.
	Weight float64 `yaml:"weight" json:"weight"`
	// Priority orders claims that are otherwise equal; from 0 to 9.
	Priority int `yaml:"priority" json:"priority"`
	// KeySHA256 is the hex SHA-256 of the account's key; unique.
	KeySHA256 string `yaml:"key_sha256" json:"-"`
	// MoreKeys are the hex SHA-256 of further keys; unique.
	MoreKeys []string `yaml:"more_keys_sha256" json:"-"`
	// Rank orders waiting requests before their route's rank: lower goes
	// first.
	Rank int `yaml:"rank" json:"rank"`
	// Limits bound the account's use of the fleet.
	Limits Limits `yaml:"limits" json:"limits"`
}

// Backend is the row of a backend server.
type Backend struct {
	// Name is unique in the table and not empty.
	Name string `yaml:"name" json:"name"`
	// Zone is the availability zone the backend server stands in.
	Zone string `yaml:"zone" json:"zone"`
	// Address is an IP number and port.
	Address string `yaml:"address" json:"address"`
	// Kind is engine or service.
	Kind Kind `yaml:"kind" json:"kind"`
	// Models lists the models, or the service's name; not empty.
	Models []string `yaml:"models" json:"models"`
	// Slots is how many requests may run at once; above zero.
	Slots int `yaml:"slots" json:"slots"`
	// Mark is the operators' mark.
	Mark Mark `yaml:"mark" json:"mark"`
	// ChecksFences says whether the backend server refuses stale orders.
	ChecksFences bool `yaml:"checks_fences" json:"checks_fences"`
	// WarmupLeft is for how much longer it is warming up, as of the moment when
	// this was heard: until then it bears its service's WarmupRate only.
	WarmupLeft time.Duration `yaml:"-" json:"warmup_left,omitempty"`
	// StartTime is when it started, in Unix milliseconds by its own clock; 0 if it does not
	// say.
	StartTime int64 `yaml:"-" json:"born,omitempty"`
}

// Table is one version of the operators' table. It is never changed once
// parsed, so tasks may share it.
type Table struct {
	// Revision is the platform's revision of the value; it grows until the platform comes
	// back from a copy.
	Revision uint64 `yaml:"-" json:"revision"`
	// Edition is the operators' own number of the version, which only grows, whatever
	// becomes of the platform; 0 if they give none.
	Edition uint64 `yaml:"-" json:"edition,omitempty"`
	// Accounts is in the order of the file.
	Accounts []Account `yaml:"accounts" json:"accounts"`
	// Backends is in the order of the file.
	Backends []Backend `yaml:"backends" json:"backends"`
	// Routes is in the order of the file.
	Routes []Route `yaml:"routes" json:"routes"`
	// Services is in the order of the file.
	Services []ServiceRow `yaml:"services" json:"services"`
	// Zones are the availability zones that operators have marked.
	Zones []ZoneRow `yaml:"zones" json:"zones,omitempty"`
	// Bounds limit what callers may send.
	Bounds Bounds `yaml:"bounds" json:"bounds"`

	accounts map[string]int
	backends map[string]int
	keys     map[string]int
	hosts    map[string][]int
	services map[string]int
	// closedZones are the names of the closed availability zones.
	closedZones map[string]bool
}

// Version is what orders the versions of a table.
type Version struct{ Edition, Revision uint64 }

// Version returns the table's version.
func (t *Table) Version() Version { return Version{t.Edition, t.Revision} }

// NewerThan reports whether a version is a newer one than another: by the operators' number
// where they differ in it.
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

// AccountByKeyHash returns the row whose key has the hex SHA-256 hash. The
// lookup is on a hash of the caller's key, so its timing tells nothing of it.
func (t *Table) AccountByKeyHash(hash string) (Account, bool) {
	i, ok := t.keys[hash]
	if !ok {
		return Account{}, false
	}
	return t.Accounts[i], true
}

// Backend returns the row of the named backend server.
func (t *Table) Backend(name string) (Backend, bool) {
	i, ok := t.backends[name]
	if !ok {
		return Backend{}, false
	}
	return t.Backends[i], true
}

// HasModel reports whether any backend server lists the model.
func (t *Table) HasModel(model string) bool {
	for i := range t.Backends {
		if t.Backends[i].Serves(model) {
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

// Index builds the look-up maps; Parse and ApplyDelta call it.
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
