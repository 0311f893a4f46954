package config_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/config"
)

const sample = `
name: a-0
zone: a
platform: 10.0.0.1:80
seeds: [10.0.0.2:7]
listen: {callers: "10.0.0.3:1", peers: "10.0.0.3:2", admin: "10.0.0.3:3", readiness: "10.0.0.3:4"}
retries: {ratio: 0.2, extra: 54, window: 10s}
machine: {processors: 0.4, memory_mb: 284, descriptors: 4200}
`

func parse(t *testing.T, text string) config.Settings {
	t.Helper()
	s, err := config.Parse("s.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestCompare checks which changes a running router applies and which need a restart.
func TestCompare(t *testing.T) {
	tests := map[string]struct {
		from, to string
		want     config.Change
	}{
		"equal":         {"zone: a", "zone: a", config.Change{}},
		"reloadable":    {"extra: 54", "extra: 60", config.Change{Applied: []string{"retries"}}},
		"needs restart": {"zone: a", "zone: b", config.Change{NeedRestart: []string{"zone"}}},
		"both":          {"zone: a\n", "zone: b\nlog_level: debug\n", config.Change{Applied: []string{"log_level"}, NeedRestart: []string{"zone"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			from, to := parse(t, sample), parse(t, strings.Replace(sample, tc.from, tc.to, 1))
			if diff := cmp.Diff(tc.want, config.Compare(from, to)); diff != "" {
				t.Errorf("change (-want +got):\n%s", diff)
			}
			merged := config.Merge(from, to)
			if rest := config.Compare(merged, to); len(rest.Applied) > 0 || merged.Zone != from.Zone {
				t.Errorf("merged settings differ from the new ones by %+v", rest)
			}
		})
	}
}

// TestParseNamesInvalidField checks that the error names the invalid field.
func TestParseNamesInvalidField(t *testing.T) {
	tests := map[string]struct{ from, to, want string }{
		"host name as seed":       {"10.0.0.2:7", "router.example:7", "seeds[0]"},
		"no retry window":         {"window: 10s", "window: 0s", "retries.window"},
		"negative retry budget":   {"extra: 54", "extra: -1", "retries"},
		"host name for readiness": {"10.0.0.3:4", "here:4", "listen.readiness"},
		"unknown field":           {"zone: a", "zone: a\nzones: {}", "zones"},
		"negative processors":     {"processors: 0.4", "processors: -1", "machine"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("s.yaml", []byte(strings.Replace(sample, tc.from, tc.to, 1)))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v does not name %s", err, tc.want)
			}
		})
	}
}

// TestWatchReportsChangedFile guards against missing a change of the file.
func TestWatchReportsChangedFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(file, []byte(sample), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	changed := make(chan struct{}, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		config.Watch(ctx, file, func() { changed <- struct{}{} })
	}()
	for {
		if err := os.WriteFile(file, []byte(sample+"# "+time.Now().String()), 0o600); err != nil {
			t.Fatal(err)
		}
		select {
		case <-changed:
			cancel()
			<-done
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
