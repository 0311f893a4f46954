package router

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

// session is a scripted simulation: the initial state and timed steps.
type session struct {
	Shows    string         `yaml:"shows"`
	Zones    map[string]int `yaml:"zones"`
	Servers  []table.Backend
	Accounts []table.Account
	Until    time.Duration `yaml:"until"`
	Steps    []sessionStep `yaml:"steps"`
}

// sessionStep is one step: request, cut, join, pause, wake, stop, start, stale,
// fresh, mark, edit or drain.
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

func (w *world) do(s sessionStep, n int) {
	switch s.Do {
	case "request":
		wait := s.Wait
		if wait == 0 {
			wait = time.Minute
		}
		for i := range max(1, s.Count) {
			w.request(fmt.Sprintf("r%d.%d", n, i+1), s.On, s.Who, s.Model, s.Key, s.Tokens, wait)
		}
	case "cut":
		w.cut[s.On] = true
	case "join":
		w.cut[s.On] = false
	case "pause":
		w.paused[s.On] = true
	case "wake":
		w.paused[s.On] = false
	case "stop":
		if w.routers[s.On].up {
			w.stop(s.On)
		}
	case "start":
		if !w.routers[s.On].up {
			w.start(s.On)
		}
	case "stale":
		w.stale = true
	case "fresh":
		w.stale, w.published = false, w.rev
	case "mark":
		w.mark(s.On, s.Mark)
	case "edit":
		w.table.Accounts[0].Weight++
		w.publish()
	case "drain":
		w.routers[s.On].step(drain{make(chan struct{})})
	default:
		panic("unknown step " + s.Do)
	}
	if s.Do != "request" {
		w.logf("-- %s %s%s", s.Do, s.On, s.Mark)
	}
}

// play runs a session and returns its world.
func (s *session) play() *world {
	w := newWorld(s.Zones, s.Servers, s.Accounts)
	sort.SliceStable(s.Steps, func(i, j int) bool { return s.Steps[i].At < s.Steps[j].At })
	next := 0
	w.run(simStart+s.Until, func() {
		for next < len(s.Steps) && simStart+s.Steps[next].At <= w.now {
			w.do(s.Steps[next], next)
			next++
		}
	})
	w.close()
	return w
}

func (w *world) summary() string {
	var b strings.Builder
	for _, line := range w.log {
		b.WriteString(line + "\n")
	}
	for _, name := range sortedNames(w.servers) {
		s := w.servers[name]
		fmt.Fprintf(&b, "%s: at most %d of %d slots in use, %d at the end\n", name, s.most, s.row.Slots, s.inFlight)
	}
	for _, x := range w.violations {
		fmt.Fprintf(&b, "BROKEN %s\n", x)
	}
	return b.String()
}

// TestSessions guards against unintended changes of the routers' decisions. It
// compares each session in the testdata of dispatch with a golden file here.
// Run with -update after an intended change and review the difference.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("../dispatch/testdata/sessions/*.yaml")
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
			w := s.play()
			for _, x := range w.violations {
				t.Errorf("%s: %s", s.Shows, x)
			}
			g.Assert(t, name, []byte(w.summary()))
		})
	}
}
