package config

import (
	"reflect"
	"slices"
	"strings"
)

// reloadable lists the settings that a running router applies. The others need a restart.
var reloadable = []string{"seeds", "retries", "apply_within", "drain_for", "drain_notice", "log_level", "callers", "machine"}

// Change lists the settings that differ, by their names in the file.
type Change struct {
	// Applied lists the settings that a running router applies.
	Applied []string
	// NeedRestart lists the settings that need a restart.
	NeedRestart []string
}

// Empty reports whether no setting differs.
func (c Change) Empty() bool { return len(c.Applied) == 0 && len(c.NeedRestart) == 0 }

// Compare returns the differences between two settings.
func Compare(from, to Settings) Change {
	var change Change
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		if slices.Contains(reloadable, name) {
			change.Applied = append(change.Applied, name)
		} else {
			change.NeedRestart = append(change.NeedRestart, name)
		}
	}
	return change
}

// Merge returns the settings after a reload: the reloadable ones of to, the others of from.
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
