package config

import (
	"reflect"
	"slices"
	"strings"
)

// reloadable are the settings that a running router takes over; the others
// need a new start.
var reloadable = []string{"retries", "apply_within", "drain_for", "drain_notice", "log_level", "callers", "machine"}

// Change is the difference between two settings, by the names of the fields.
type Change struct {
	// Applied can be taken over by a running router.
	Applied []string
	// NeedRestart need a new start.
	NeedRestart []string
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Applied) == 0 && len(c.NeedRestart) == 0 }

// Compare returns what changed from one to the other.
func Compare(from, to Settings) Change {
	var c Change
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		if slices.Contains(reloadable, name) {
			c.Applied = append(c.Applied, name)
		} else {
			c.NeedRestart = append(c.NeedRestart, name)
		}
	}
	return c
}

// Merge returns the settings in force after a reload: to where a running
// router can take it over, from elsewhere.
func Merge(from, to Settings) Settings {
	merged := from
	a, b := reflect.ValueOf(&merged).Elem(), reflect.ValueOf(to)
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		if slices.Contains(reloadable, name) {
			a.Field(i).Set(b.Field(i))
		}
	}
	return merged
}
