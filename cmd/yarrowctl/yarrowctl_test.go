package main

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/fleet"
	"github.com/yarrowmast/yarrowmast/internal/router"
)

func answer(name, mark string, running, leases int) fleet.Response[router.Status] {
	return fleet.Response[router.Status]{
		Router: fleet.Router{Name: name},
		Value: router.Status{Name: name, Table: 7, Backends: map[string]router.BackendStatus{
			"form-1": {Mark: mark, Running: running, Leases: leases, OldestMillis: int64(1000 * running)},
		}},
	}
}

func missing(name string) fleet.Response[router.Status] {
	return fleet.Response[router.Status]{Router: fleet.Router{Name: name}, Error: "refused"}
}

func TestDrainIsSafeOnlyIfAllAgree(t *testing.T) {
	tests := map[string]struct {
		answers []fleet.Response[router.Status]
		want    progress
	}{
		"all agree": {[]fleet.Response[router.Status]{answer("a", "leaving", 0, 0), answer("b", "stopping", 0, 0)},
			progress{Backend: "form-1", Safe: true}},
		"one runs": {[]fleet.Response[router.Status]{answer("a", "leaving", 2, 0), answer("b", "leaving", 0, 0)},
			progress{Backend: "form-1", Running: 2, OldestMillis: 2000}},
		"one may start": {[]fleet.Response[router.Status]{answer("a", "leaving", 0, 1)},
			progress{Backend: "form-1", Leases: 1}},
		"one has no mark": {[]fleet.Response[router.Status]{answer("a", "serving", 0, 0)},
			progress{Backend: "form-1", Open: []string{"a"}}},
		"one is silent": {[]fleet.Response[router.Status]{answer("a", "leaving", 0, 0), missing("b")},
			progress{Backend: "form-1", Missing: []string{"b"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, known := drainProgress("form-1", tc.answers)
			if diff := cmp.Diff(tc.want, got); diff != "" || !known {
				t.Errorf("progress (-want +got), known %v:\n%s", known, diff)
			}
		})
	}
	if _, known := drainProgress("nope", tests["all agree"].answers); known {
		t.Error("a backend server that no table lists is known")
	}
}

func TestBehindTable(t *testing.T) {
	tableArgs.wait = 8
	defer func() { tableArgs.wait = 0 }()
	if diff := cmp.Diff([]string{"a"}, behindTable([]fleet.Response[router.Status]{answer("a", "serving", 0, 0), missing("b")})); diff != "" {
		t.Errorf("behind (-want +got):\n%s", diff)
	}
}

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int
	}{
		"good files":     {[]string{"check", "-t", "../../examples/ramdin/table.yaml"}, command.ExitOK},
		"a bad file":     {[]string{"check", "-s", "../../examples/ramdin/table.yaml"}, command.ExitFailed},
		"no such file":   {[]string{"check", "-t", "nope.yaml"}, command.ExitUsage},
		"nothing to do":  {[]string{"check"}, command.ExitUsage},
		"silent router":  {[]string{"status", "-a", "127.0.0.1:1"}, command.ExitFailed},
		"unknown policy": {[]string{"measure", "-f", "../../examples/scenarios/skew.yaml", "-p", "nope"}, command.ExitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			checkArgs.table, checkArgs.settings, statusArgs, measureArgs.file, measureArgs.policy = "", "", fleetArgs{}, "", ""
			var out bytes.Buffer
			got := command.Run("yarrowctl", "", commands, tc.args, &command.Context{Out: &out, Err: &out})
			if got != tc.want {
				t.Errorf("exit code %d, want %d:\n%s", got, tc.want, out.String())
			}
		})
	}
}
