// Package chart reads state charts from YAML files and returns the next state for an
// event. An event for which the chart has no transition is an error.
package chart

import (
	"fmt"
	"sort"

	"go.yaml.in/yaml/v4"
)

// State names a state of a chart.
type State string

// Event names an event that causes a transition.
type Event string

// Transition is a transition between two states.
type Transition struct {
	// Name is unique in its chart; the specification uses the same name.
	Name string `yaml:"name"`
	// From is the source state.
	From State `yaml:"from"`
	// On is the event that causes the transition. From and On are unique together.
	On Event `yaml:"on"`
	// To is the target state.
	To State `yaml:"to"`
}

// Chart is a state chart.
type Chart struct {
	// Name identifies the chart in errors.
	Name string `yaml:"name"`
	// Initial is the initial state; it is one of States.
	Initial     State        `yaml:"initial"`
	States      []State      `yaml:"states"`
	Transitions []Transition `yaml:"transitions"`

	next map[key]State
}

type key struct {
	from State
	on   Event
}

// Parse parses a chart from YAML and validates it.
func Parse(data []byte) (*Chart, error) {
	c := &Chart{}
	if err := yaml.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("chart: read file: %w", err)
	}
	if err := c.index(); err != nil {
		return nil, fmt.Errorf("chart %s: %w", c.Name, err)
	}
	return c, nil
}

// MustParse is like Parse but panics on errors. It is for embedded files.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) index() error {
	states := make(map[State]bool, len(c.States))
	for _, s := range c.States {
		states[s] = true
	}
	if !states[c.Initial] {
		return fmt.Errorf("initial state %q is not listed under states", c.Initial)
	}
	c.next = make(map[key]State, len(c.Transitions))
	names := make(map[string]bool, len(c.Transitions))
	for _, t := range c.Transitions {
		if !states[t.From] || !states[t.To] {
			return fmt.Errorf("transition %q has a state that is not listed under states", t.Name)
		}
		k := key{t.From, t.On}
		if _, duplicate := c.next[k]; duplicate || names[t.Name] {
			return fmt.Errorf("transition %q is a duplicate", t.Name)
		}
		c.next[k] = t.To
		names[t.Name] = true
	}
	return nil
}

// Next returns the state that follows from on the event. It fails if the
// chart has no such transition.
func (c *Chart) Next(from State, on Event) (State, error) {
	to, ok := c.next[key{from, on}]
	if !ok {
		return from, fmt.Errorf("chart %s: no transition from %q on %q", c.Name, from, on)
	}
	return to, nil
}

// Names returns the names of all transitions, sorted.
func (c *Chart) Names() []string {
	names := make([]string, 0, len(c.Transitions))
	for _, t := range c.Transitions {
		names = append(names, t.Name)
	}
	sort.Strings(names)
	return names
}
