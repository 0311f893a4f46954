package main

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/fleet"
	"github.com/yarrowmast/yarrowmast/internal/router"
)

func response(name, mark string, running, leases int) fleet.Response[*statusRow] {
	return fleet.Response[*statusRow]{
		Router: fleet.Router{Name: name},
		Value: &statusRow{Pools: &router.Status{Name: name, Table: 7, Backends: map[string]router.BackendStatus{
			"form-1": {Mark: mark, Running: running, Leases: leases, OldestMillis: int64(1000 * running)},
		}}},
	}
}

func unreachable(name string) fleet.Response[*statusRow] {
	return fleet.Response[*statusRow]{Router: fleet.Router{Name: name}, Error: "refused"}
}

// TestDrainSafeOnlyIfAllRoutersAgree guards against reporting a backend server as safe to stop
// while a router may still use it.
func TestDrainSafeOnlyIfAllRoutersAgree(t *testing.T) {
	tests := map[string]struct {
		responses []fleet.Response[*statusRow]
		want      progress
	}{
		"all agree": {[]fleet.Response[*statusRow]{response("a", "leaving", 0, 0), response("b", "stopping", 0, 0)},
			progress{Backend: "form-1", Safe: true}},
		"one has running requests": {[]fleet.Response[*statusRow]{response("a", "leaving", 2, 0), response("b", "leaving", 0, 0)},
			progress{Backend: "form-1", Running: 2, OldestMillis: 2000}},
		"one has a lease": {[]fleet.Response[*statusRow]{response("a", "leaving", 0, 1)},
			progress{Backend: "form-1", Leases: 1}},
		"mark missing on one": {[]fleet.Response[*statusRow]{response("a", "serving", 0, 0)},
			progress{Backend: "form-1", Unmarked: []string{"a"}}},
		"one unreachable": {[]fleet.Response[*statusRow]{response("a", "leaving", 0, 0), unreachable("b")},
			progress{Backend: "form-1", Unreachable: []string{"b"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, found := drainProgress("form-1", tc.responses)
			if diff := cmp.Diff(tc.want, got); diff != "" || !found {
				t.Errorf("progress (-want +got), found %v:\n%s", found, diff)
			}
		})
	}
	if _, found := drainProgress("nope", tests["all agree"].responses); found {
		t.Error("found a backend server that no table lists")
	}
}

func TestRoutersBehind(t *testing.T) {
	tableArgs.wait = 8
	defer func() { tableArgs.wait = 0 }()
	if diff := cmp.Diff([]string{"a"}, routersBehind([]fleet.Response[*statusRow]{response("a", "serving", 0, 0), unreachable("b")})); diff != "" {
		t.Errorf("routers behind (-want +got):\n%s", diff)
	}
}

// TestExitCodes checks the exit codes that scripts depend on.
func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want int
	}{
		"valid file":         {[]string{"check", "-t", "../../examples/ramdin/table.yaml"}, command.ExitOK},
		"invalid file":       {[]string{"check", "-s", "../../examples/ramdin/table.yaml"}, command.ExitFailed},
		"missing file":       {[]string{"check", "-t", "nope.yaml"}, command.ExitUsage},
		"no file":            {[]string{"check"}, command.ExitUsage},
		"unreachable router": {[]string{"status", "-a", "127.0.0.1:1"}, command.ExitFailed},
		"unknown policy":     {[]string{"measure", "-f", "../../examples/scenarios/skew.yaml", "-p", "nope"}, command.ExitUsage},
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
