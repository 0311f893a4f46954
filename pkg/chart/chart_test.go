package chart_test

import (
	"os"
	"strings"
	"testing"

	"github.com/yarrowmast/yarrowmast/pkg/chart"
)

func TestParseRejects(t *testing.T) {
	tests := map[string]string{
		"unknown state":   "{name: x, initial: a, states: [a], transitions: [{name: t, from: a, on: e, to: b}]}",
		"unknown initial": "{name: x, initial: z, states: [a]}",
		"same transition": "{name: x, initial: a, states: [a], transitions: [{name: t, from: a, on: e, to: a}, {name: u, from: a, on: e, to: a}]}",
		"duplicate name":  "{name: x, initial: a, states: [a], transitions: [{name: t, from: a, on: e, to: a}, {name: t, from: a, on: f, to: a}]}",
		"invalid YAML":    "[1, 2",
	}
	for name, file := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := chart.Parse([]byte(file)); err == nil {
				t.Error("the chart was accepted")
			}
		})
	}
}

func TestNextRejectsMissingTransition(t *testing.T) {
	if _, err := chart.Lease.Next(chart.Expired, chart.Start); err == nil {
		t.Error("an expired lease started")
	}
	if s, err := chart.Lease.Next(chart.Granted, chart.Start); err != nil || s != chart.Running {
		t.Errorf("a granted lease went to %q, %v", s, err)
	}
}

// TestSpecificationNamesEveryTransition guards against charts with transitions that the
// verified Promela models lack.
func TestSpecificationNamesEveryTransition(t *testing.T) {
	tests := map[string]struct {
		chart *chart.Chart
		model string
	}{
		"lease":   {chart.Lease, "lease.pml"},
		"table":   {chart.Table, "table.pml"},
		"backend": {chart.Backend, "leaving.pml"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("../../spec/" + tc.model)
			if err != nil {
				t.Fatal(err)
			}
			named := map[string]bool{}
			for _, word := range strings.FieldsFunc(string(data), func(r rune) bool {
				return !(r >= 'a' && r <= 'z' || r == '-')
			}) {
				named[word] = true
			}
			for _, transition := range tc.chart.Names() {
				if !named[transition] {
					t.Errorf("%s does not name the transition %q", tc.model, transition)
				}
			}
		})
	}
}
