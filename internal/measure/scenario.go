// Package measure runs routers against stand-ins on loopback under the load and faults of a scenario,
// and reports the measures that docs/MEASURES.md defines.
package measure

import (
	"fmt"
	"os"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
)

// Scenario is one experiment.
type Scenario struct {
	// Name is the base name of the file without its extension.
	Name string `yaml:"-"`
	// Seed determines arrival times and request sizes.
	Seed uint64 `yaml:"seed"`
	// Duration is the length of the measured period.
	Duration time.Duration `yaml:"duration"`
	Zones    []Zone        `yaml:"zones"`
	// ZoneLatency is the one-way delay between zones.
	ZoneLatency time.Duration `yaml:"zone_latency"`
	Accounts    []Account     `yaml:"accounts"`
	Faults      []Fault       `yaml:"faults"`
	// Policies are fleet, local, central, or variants of the fleet, such as
	// fleet/share=100ms or fleet/as-last-shared.
	Policies []string `yaml:"policies"`
}

// Zone is one availability zone.
type Zone struct {
	Name     string    `yaml:"name"`
	Routers  int       `yaml:"routers"`
	Backends []Backend `yaml:"backends"`
}

// Backend is one stand-in engine.
type Backend struct {
	Name            string  `yaml:"name"`
	Model           string  `yaml:"model"`
	Slots           int     `yaml:"slots"`
	TokensPerSecond float64 `yaml:"tokens_per_second"`
}

// Account is one client account and its load.
type Account struct {
	Name     string  `yaml:"name"`
	Weight   float64 `yaml:"weight"`
	Priority int     `yaml:"priority"`
	Model    string  `yaml:"model"`
	// Routers are the names of the routers that receive its requests, or "all".
	Routers RouterNames `yaml:"routers"`
	// Rate is the number of requests per second, Backlog the number of requests kept open. Exactly
	// one of the two is set.
	Rate    float64 `yaml:"rate"`
	Backlog int     `yaml:"backlog"`
	Tokens  Tokens  `yaml:"tokens"`
	// Prefixes is the number of different prompt prefixes; 0 means prompts too short to cache.
	Prefixes int `yaml:"prefixes"`
	// Repeatable is true by default.
	Repeatable *bool `yaml:"repeatable"`
}

// RouterNames is a list of routers. "all" stands for every router.
type RouterNames []string

// UnmarshalYAML accepts a list or a single name.
func (r *RouterNames) UnmarshalYAML(unmarshal func(any) error) error {
	var one string
	if err := unmarshal(&one); err == nil {
		*r = RouterNames{one}
		return nil
	}
	var many []string
	if err := unmarshal(&many); err != nil {
		return err
	}
	*r = many
	return nil
}

// Tokens is the distribution of a request's cost.
type Tokens struct {
	// Distribution is fixed, uniform or lognormal.
	Distribution string  `yaml:"distribution"`
	Min          float64 `yaml:"min"`
	Median       float64 `yaml:"median"`
	Max          float64 `yaml:"max"`
}

// Fault is a fault or an edit of the table during the run.
type Fault struct {
	At  time.Duration `yaml:"at"`
	For time.Duration `yaml:"for"`
	// Kind is partition, restart, pause, platform_down, platform_stale,
	// leave, stop, flood or edit.
	Kind   string `yaml:"kind"`
	Target string `yaml:"target"`
}

// Load reads a scenario from a file.
func Load(file string) (*Scenario, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return Parse(file, data)
}

// Parse parses and validates a scenario. Its error lists all problems.
func Parse(file string, data []byte) (*Scenario, error) {
	s := &Scenario{Name: baseName(file), Seed: 1, Duration: 15 * time.Second, ZoneLatency: 1500 * time.Microsecond}
	d := strictyaml.Decode(file, data, s)
	if err := d.Err(); err != nil {
		return nil, err
	}
	s.check(d)
	return s, d.Err()
}

const maxDuration = 10 * time.Minute

func (s *Scenario) check(d *strictyaml.Doc) {
	if s.Duration <= 0 || s.Duration > maxDuration {
		d.Add("must be above 0 and up to 10m", "duration")
	}
	if len(s.Policies) == 0 {
		s.Policies = []string{PolicyFleet}
	}
	for i, p := range s.Policies {
		if _, err := parsePolicy(p); err != nil {
			d.Add(err.Error(), "policies", i)
		}
	}
	models, routers := s.checkZones(d)
	for i := range s.Accounts {
		s.Accounts[i].check(d, i, models, routers)
	}
	for i, f := range s.Faults {
		s.checkFault(d, i, f, routers)
	}
}

func (s *Scenario) checkZones(d *strictyaml.Doc) (models, routers map[string]bool) {
	models, routers = map[string]bool{}, map[string]bool{}
	if len(s.Zones) == 0 {
		d.Add("must list at least one availability zone", "zones")
	}
	for i, z := range s.Zones {
		if z.Routers < 1 {
			d.Add("must be at least 1", "zones", i, "routers")
		}
		for j := range z.Routers {
			routers[routerName(z.Name, j)] = true
		}
		for j, b := range z.Backends {
			models[b.Model] = true
			if b.Slots < 1 || !(b.TokensPerSecond > 0) {
				d.Add("needs slots and tokens_per_second above 0", "zones", i, "backends", j)
			}
		}
	}
	return models, routers
}

func routerName(zone string, i int) string { return fmt.Sprintf("%s-%d", zone, i) }

func (a *Account) check(d *strictyaml.Doc, i int, models, routers map[string]bool) {
	if !(a.Weight > 0) {
		d.Add("must be above 0", "accounts", i, "weight")
	}
	if !models[a.Model] {
		d.Add(fmt.Sprintf("no backend server serves %q", a.Model), "accounts", i, "model")
	}
	if (a.Rate > 0) == (a.Backlog > 0) {
		d.Add("set either rate or backlog, above 0", "accounts", i)
	}
	for _, r := range a.Routers {
		if r != "all" && !routers[r] {
			d.Add(fmt.Sprintf("unknown router %q; routers are named zone-0, zone-1 and so on", r), "accounts", i, "routers")
		}
	}
	switch a.Tokens.Distribution {
	case "fixed", "uniform", "lognormal":
	default:
		d.Add("must be fixed, uniform or lognormal", "accounts", i, "tokens", "distribution")
	}
	if a.Tokens.Max < 1 || a.Tokens.Min > a.Tokens.Max {
		d.Add("needs min, median and max with 1 <= max and min <= max", "accounts", i, "tokens")
	}
}

func (s *Scenario) checkFault(d *strictyaml.Doc, i int, f Fault, routers map[string]bool) {
	ok := true
	switch f.Kind {
	case "partition":
		ok = s.hasZone(f.Target)
	case "restart", "pause":
		ok = routers[f.Target]
	case "leave", "stop":
		ok = s.hasBackend(f.Target)
	case "flood", "edit":
		ok = s.hasAccount(f.Target)
	case "platform_down", "platform_stale":
	default:
		d.Add(fmt.Sprintf("unknown kind %q", f.Kind), "faults", i, "kind")
	}
	if !ok {
		d.Add(fmt.Sprintf("%q is not a valid target of %s", f.Target, f.Kind), "faults", i, "target")
	}
}

func (s *Scenario) hasZone(name string) bool {
	for _, z := range s.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}

func (s *Scenario) hasBackend(name string) bool {
	for _, z := range s.Zones {
		for _, b := range z.Backends {
			if b.Name == name {
				return true
			}
		}
	}
	return false
}

func (s *Scenario) hasAccount(name string) bool {
	for _, a := range s.Accounts {
		if a.Name == name {
			return true
		}
	}
	return false
}
