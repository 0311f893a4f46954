// Package chart reads state charts from files and answers which state follows
// on an event. The step functions of the fleet take every transition through
// a chart, so a transition the chart lacks is an error and not a habit.
package chart

import (
	"fmt"
	"sort"

	"go.yaml.in/yaml/v4"
)

// State names a state of a chart.
type State string

// Event names what moves a chart from one state to the next.
type Event string

// Transition is one arrow of a chart.
type Transition struct {
	// Name is unique in its chart; the specification uses the same name.
	Name string `yaml:"name"`
	// From is the state in which the arrow starts.
	From State `yaml:"from"`
	// On is the event that takes the arrow. From and On are unique together.
	On Event `yaml:"on"`
	// To is the state in which the arrow ends.
	To State `yaml:"to"`
}

// Chart is a state chart as its file gives it.
type Chart struct {
	// Name is the chart's name in errors.
	Name string `yaml:"name"`
	// Initial is the state of something new; it is one of States.
	Initial State `yaml:"initial"`
	// States lists every state.
	States []State `yaml:"states"`
	// Transitions lists every arrow.
	Transitions []Transition `yaml:"transitions"`

	next map[key]State
}

type key struct {
	from State
	on   Event
}

// Parse reads a chart from YAML and checks that it is well formed.
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

// MustParse is Parse for files embedded in the program.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) index() error {
	known := make(map[State]bool, len(c.States))
	for _, s := range c.States {
		known[s] = true
	}
	if !known[c.Initial] {
		return fmt.Errorf("initial state %q is not listed under states", c.Initial)
	}
	c.next = make(map[key]State, len(c.Transitions))
	names := make(map[string]bool, len(c.Transitions))
	for _, t := range c.Transitions {
		if !known[t.From] || !known[t.To] {
			return fmt.Errorf("transition %q joins a state that is not listed", t.Name)
		}
		k := key{t.From, t.On}
		if _, twice := c.next[k]; twice || names[t.Name] {
			return fmt.Errorf("transition %q stands twice", t.Name)
		}
		c.next[k] = t.To
		names[t.Name] = true
	}
	return nil
}

// Next returns the state that follows from on the event. It fails where the
// chart has no such arrow.
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
