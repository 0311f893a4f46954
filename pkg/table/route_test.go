package table_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/strictyaml"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

const routes = `routes:
  - name: read
    host: forms.example
    prefix: /read/
    targets: [{service: form-reader, weight: 9}, {service: trial, weight: 1}]
    stream: true
    repeat: resume
    timeout: 15s
    target: 400ms
    attempts: 2
  - name: read-fast
    host: Forms.example
    prefix: /read/fast/
    targets: [{service: trial, weight: 1}]
  - name: rest
    host: forms.example
    prefix: /
    targets: [{service: desk, weight: 1}]
    public: true
services:
  - {name: desk, health: /health, max_connections: 100}
bounds: {body_bytes: 4096, idle_time: 15s}
`

func parseRoutes(t *testing.T) *table.Table {
	t.Helper()
	got, err := table.Parse("t.yaml", []byte(sample()+routes))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestRouteFor(t *testing.T) {
	got := parseRoutes(t)
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":     {"forms.example", "/read/fast/x", "read-fast"},
		"shorter prefix":     {"forms.example", "/read/x", "read"},
		"prefix itself":      {"forms.example", "/read/", "read"},
		"partial segment":    {"forms.example", "/readx", "rest"},
		"host in upper case": {"FORMS.Example:8080", "/read/x", "read"},
		"unknown host":       {"quiz.example", "/read/x", ""},
		"path without root":  {"forms.example", "*", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := got.RouteFor(tc.host, tc.path)
			if (tc.want != "") != ok || ok && r.Name != tc.want {
				t.Errorf("route %v, want %q", r, tc.want)
			}
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := parseRoutes(t).Routes[0]
	for random, want := range map[float64]string{0: "form-reader", 0.89: "form-reader", 0.91: "trial", 0.9999999: "trial"} {
		if got := r.Pick(random); got != want {
			t.Errorf("random number %v selects %s, want %s", random, got, want)
		}
	}
}

// TestRoutesInParseAndDelta guards against losing routes or bounds in a delta.
func TestRoutesInParseAndDelta(t *testing.T) {
	got := parseRoutes(t)
	if got.Routes[0].Timeout != 15*time.Second || got.Routes[1].Repeat != table.RepeatNever || got.Routes[1].MaxAttempts() != table.DefaultAttempts {
		t.Errorf("routes %+v", got.Routes)
	}
	before, err := table.Parse("t.yaml", []byte(sample()))
	if err != nil {
		t.Fatal(err)
	}
	got.Revision = 1
	next, err := before.Apply(table.Diff(before, got))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(got.Routes, next.Routes); diff != "" || next.Bounds != got.Bounds {
		t.Errorf("routes after a delta (-want +got):\n%s", diff)
	}
}

func TestParseRejectsInvalidRoutes(t *testing.T) {
	tests := map[string]struct{ from, to, want string }{
		"prefix without slash":     {"prefix: /read/\n", "prefix: /read\n", "routes[0].prefix"},
		"no targets":               {"targets: [{service: desk, weight: 1}]", "targets: []", "routes[2].targets"},
		"weight zero":              {"[{service: trial, weight: 1}]", "[{service: trial, weight: 0}]", "routes[1].targets"},
		"resume without a stream":  {"stream: true\n", "stream: false\n", "routes[0].repeat"},
		"unknown repeat":           {"repeat: resume", "repeat: often", "routes[0].repeat"},
		"duplicate name":           {"name: rest", "name: read", "routes[2].name"},
		"negative time":            {"timeout: 15s", "timeout: -1s", "routes[0].timeout"},
		"negative bound":           {"body_bytes: 4096", "body_bytes: -1", "bounds"},
		"health path without root": {"health: /health", "health: health", "services[0].health"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(sample()+routes, tc.from, tc.to, 1)
			_, err := table.Parse("t.yaml", []byte(text))
			var problems *strictyaml.Problems
			if !errors.As(err, &problems) || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v does not contain %s", err, tc.want)
			}
		})
	}
}
