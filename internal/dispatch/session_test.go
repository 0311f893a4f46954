package dispatch

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.yaml.in/yaml/v4"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// session is a scripted simulation run.
type session struct {
	Shows    string         `yaml:"shows"`
	Zones    map[string]int `yaml:"zones"`
	Servers  []table.Backend
	Accounts []table.Account
	Until    time.Duration `yaml:"until"`
	Steps    []sessionStep `yaml:"steps"`
}

// sessionStep is one event: request, cut, join, pause, wake, stop, start, stale, fresh, mark,
// edit or drain.
type sessionStep struct {
	At     time.Duration `yaml:"at"`
	Do     string        `yaml:"do"`
	On     string        `yaml:"on"`
	Who    string        `yaml:"who"`
	Model  string        `yaml:"model"`
	Key    string        `yaml:"key"`
	Mark   table.Mark    `yaml:"mark"`
	Tokens int64         `yaml:"tokens"`
	Count  int           `yaml:"count"`
	Wait   time.Duration `yaml:"wait"`
}

func (sim *simulation) do(s sessionStep, n int) {
	switch s.Do {
	case "request":
		wait := s.Wait
		if wait == 0 {
			wait = time.Minute
		}
		for i := range max(1, s.Count) {
			sim.request(fmt.Sprintf("r%d.%d", n, i+1), s.On, s.Who, s.Model, s.Key, s.Tokens, wait)
		}
	case "cut":
		sim.cut[s.On] = true
	case "join":
		sim.cut[s.On] = false
	case "pause":
		sim.paused[s.On] = true
	case "wake":
		sim.paused[s.On] = false
	case "stop":
		if sim.routers[s.On].up {
			sim.stop(s.On)
		}
	case "start":
		if !sim.routers[s.On].up {
			sim.start(s.On)
		}
	case "stale":
		sim.stale = true
	case "fresh":
		sim.stale, sim.visibleRevision = false, sim.rev
	case "mark":
		sim.mark(s.On, s.Mark)
	case "edit":
		sim.table.Accounts[0].Weight++
		sim.publish()
	case "drain":
		sim.routers[s.On].d.Drain()
		sim.routers[s.On].step(drainEvent{})
	default:
		panic("unknown step " + s.Do)
	}
	if s.Do != "request" {
		sim.logf("-- %s %s%s", s.Do, s.On, s.Mark)
	}
}

// play runs a session and returns the simulation.
func (s *session) play() *simulation {
	sim := newSimulation(s.Zones, s.Servers, s.Accounts)
	sort.SliceStable(s.Steps, func(i, j int) bool { return s.Steps[i].At < s.Steps[j].At })
	next := 0
	sim.run(simStart+s.Until, func() {
		for next < len(s.Steps) && simStart+s.Steps[next].At <= sim.now {
			sim.do(s.Steps[next], next)
			next++
		}
	})
	sim.close()
	return sim
}

func (sim *simulation) summary() string {
	var b strings.Builder
	for _, line := range sim.log {
		b.WriteString(line + "\n")
	}
	for _, name := range sortedNames(sim.servers) {
		s := sim.servers[name]
		fmt.Fprintf(&b, "%s: at most %d of %d slots in use, %d at the end\n", name, s.maxInFlight, s.row.Slots, s.inFlight)
	}
	for _, x := range sim.violations {
		fmt.Fprintf(&b, "BROKEN %s\n", x)
	}
	return b.String()
}

// TestSessions runs each session in testdata/sessions and compares the routers' decisions with
// the golden file. After an intended change, run it with -update and review the diff.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("sessions: %v, %v", files, err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"), goldie.WithNameSuffix(".golden"), goldie.WithDiffEngine(goldie.ColoredDiff))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &session{}
			if err := yaml.Load(data, s, yaml.WithKnownFields()); err != nil {
				t.Fatal(err)
			}
			sim := s.play()
			for _, x := range sim.violations {
				t.Errorf("%s: %s", s.Shows, x)
			}
			g.Assert(t, name, []byte(sim.summary()))
		})
	}
}
