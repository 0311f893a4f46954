// Package test compares the pages with the code.
package test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/capacity"
	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/measure"
	"github.com/yarrowmast/yarrowmast/internal/metrics"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

func read(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", file))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// firstColumn returns the words in code spans that begin a table's rows.
func firstColumn(page string) []string {
	var words []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(page, -1) {
		words = append(words, m[1])
	}
	slices.Sort(words)
	return words
}

func TestMetricsPageNamesEveryMetric(t *testing.T) {
	names := metrics.Names()
	slices.Sort(names)
	if diff := cmp.Diff(names, firstColumn(read(t, "docs/METRICS.md"))); diff != "" {
		t.Errorf("metrics in the code (-) and on the page (+):\n%s", diff)
	}
}

// TestLogsPageNamesEveryEvent finds the events that the code logs.
func TestLogsPageNamesEveryEvent(t *testing.T) {
	call := regexp.MustCompile(`(?:[lL]og\.(?:Debug|Info|Warn|Error)\(|[lL]og\.LogAttrs\([^"]*?|Log\([a-z.]+, level, )"([a-z_]+)"`)
	found := map[string]bool{}
	for _, dir := range []string{"../internal", "../cmd"} {
		err := filepath.WalkDir(dir, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			for _, m := range call.FindAllSubmatch(data, -1) {
				found[string(m[1])] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	var events []string
	for e := range found {
		events = append(events, e)
	}
	slices.Sort(events)
	if diff := cmp.Diff(events, firstColumn(read(t, "docs/LOGS.md"))); diff != "" {
		t.Errorf("events in the code (-) and on the page (+):\n%s", diff)
	}
}

func TestCapacityPageHoldsTheCalculation(t *testing.T) {
	slopes, err := capacity.Load("../docs/slopes.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	if err := capacity.PrintTable(&want, capacity.DesignTarget(), slopes); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(read(t, "docs/CAPACITY.md"), want.String()) {
		t.Errorf("docs/CAPACITY.md does not hold what yarrowctl capacity prints:\n%s", want.String())
	}
}

func TestExamplesAreGood(t *testing.T) {
	checks := map[string]func(file string) error{
		"../examples/scenarios/*.yaml": func(file string) error {
			_, err := measure.Load(file)
			return err
		},
		"../examples/*/table.yaml": func(file string) error {
			data, err := os.ReadFile(file)
			if err == nil {
				_, err = table.Parse(file, data)
			}
			return err
		},
		"../examples/[kr]*/*-[0-9].yaml": func(file string) error {
			_, err := config.Load(file)
			return err
		},
	}
	for pattern, check := range checks {
		t.Run(pattern, func(t *testing.T) {
			files, err := filepath.Glob(pattern)
			if err != nil || len(files) < 2 {
				t.Fatalf("files %v, %v", files, err)
			}
			for _, f := range files {
				if err := check(f); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// TestManualNamesEverySetting looks for each YAML field in the manual pages.
func TestManualNamesEverySetting(t *testing.T) {
	field := regexp.MustCompile("`yaml:\"([a-z0-9_]+)\"`|yaml:\"([a-z0-9_]+)\" json")
	for source, page := range map[string]string{
		"internal/config/config.go":    "man/yarrowmast-settings.5.md",
		"pkg/table/table.go":           "man/yarrowmast-table.5.md",
		"pkg/table/route.go":           "man/yarrowmast-table.5.md",
		"internal/measure/scenario.go": "man/yarrowmast-scenario.5.md",
	} {
		t.Run(page, func(t *testing.T) {
			text := read(t, page)
			for _, m := range field.FindAllStringSubmatch(read(t, source), -1) {
				if name := m[1] + m[2]; !strings.Contains(text, name) {
					t.Errorf("%s does not name %s", page, name)
				}
			}
		})
	}
}
