package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/command"
	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// serveStatuses serves the statuses of routers, and returns the flags with their addresses.
func serveStatuses(t *testing.T, statuses ...dispatch.Status) []string {
	t.Helper()
	var flags []string
	for _, st := range statuses {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			if err := json.NewEncoder(w).Encode(st); err != nil {
				t.Error(err)
			}
		}))
		t.Cleanup(s.Close)
		flags = append(flags, "--admin", strings.TrimPrefix(s.URL, "http://"))
	}
	return flags
}

// runCommand runs a command and returns its exit code and output.
func runCommand(args ...string) (code int, output string) {
	drainArgs.fleetArgs, tableArgs.fleetArgs, tableArgs.wait = fleetArgs{}, fleetArgs{}, 0
	var out bytes.Buffer
	code = command.Run("yarrowctl", "", commands, args, &command.Context{Out: &out, Err: &out})
	return code, out.String()
}

// TestDrainOfDispatchRouters guards against reporting a backend server as safe to stop, or as unknown,
// while a router that owns backend servers may still use it.
func TestDrainOfDispatchRouters(t *testing.T) {
	router := func(name string, u *admit.BackendUse, owned ...string) dispatch.Status {
		st := dispatch.Status{Name: name, Owned: owned}
		if u != nil {
			st.Backends = map[string]admit.BackendUse{"i-1": *u}
		}
		return st
	}
	leaving, stopping := &admit.BackendUse{Mark: table.Leaving}, &admit.BackendUse{Mark: table.Stopping}
	tests := map[string]struct {
		routers []dispatch.Status
		code    int
		want    progress
	}{
		"all agree": {[]dispatch.Status{router("a", leaving, "i-1"), router("b", stopping)}, command.ExitOK,
			progress{Backend: "i-1", Safe: true}},
		"running at one that does not own it": {[]dispatch.Status{router("a", &admit.BackendUse{Mark: table.Leaving, Granted: 2}, "i-1"), router("b", &admit.BackendUse{Mark: table.Leaving, Running: 2, OldestMillis: 700})}, command.ExitFailed,
			progress{Backend: "i-1", Running: 2, OldestMillis: 700}},
		"granted, not started": {[]dispatch.Status{router("a", &admit.BackendUse{Mark: table.Leaving, Granted: 3}, "i-1"), router("b", &admit.BackendUse{Mark: table.Leaving, Running: 2})}, command.ExitFailed,
			progress{Backend: "i-1", Running: 2, Leases: 1}},
		"running without a grant": {[]dispatch.Status{router("a", leaving, "i-1"), router("b", &admit.BackendUse{Mark: table.Leaving, Running: 1})}, command.ExitFailed,
			progress{Backend: "i-1", Running: 1}},
		"serving, unused": {[]dispatch.Status{router("a", nil, "i-1"), router("b", nil)}, command.ExitFailed,
			progress{Backend: "i-1", Unmarked: []string{"a", "b"}}},
		"serving, running": {[]dispatch.Status{router("a", leaving, "i-1"), router("b", &admit.BackendUse{Mark: table.Serving, Running: 1})}, command.ExitFailed,
			progress{Backend: "i-1", Running: 1, Unmarked: []string{"b"}}},
		"mark not in force on one": {[]dispatch.Status{router("a", leaving, "i-1"), router("b", nil)}, command.ExitFailed,
			progress{Backend: "i-1", Unmarked: []string{"b"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			code, output := runCommand(append([]string{"drain", "i-1", "--json"}, serveStatuses(t, tc.routers...)...)...)
			var got progress
			if err := json.Unmarshal([]byte(output), &got); err != nil {
				t.Fatalf("%v in %q", err, output)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" || code != tc.code {
				t.Errorf("exit code %d, want %d; progress (-want +got):\n%s", code, tc.code, diff)
			}
		})
	}
	flags := serveStatuses(t, router("a", leaving, "i-1"))
	if code, output := runCommand(append([]string{"drain", "i-2"}, flags...)...); code == command.ExitOK || !strings.Contains(output, errUnknownBackend.Error()) {
		t.Errorf("unknown backend server: exit code %d, %q", code, output)
	}
}

// TestTableOfDispatchRouters checks the columns for routers that own backend servers.
func TestTableOfDispatchRouters(t *testing.T) {
	flags := serveStatuses(t,
		dispatch.Status{Name: "a", Zone: "x", Table: 8, TableAgeMillis: 61_200, ReaderRank: 1},
		dispatch.Status{Name: "b", Zone: "y", Table: 7, TableAgeMillis: 2000, ReaderRank: 2, RefusedTable: 8, Refusal: "table: bad-value accounts[0].weight"},
		dispatch.Status{Name: "c", Zone: "y", Table: 8, ReaderRank: 9, RefusedTable: 6, Refusal: "table: bad-value routes"},
	)
	code, output := runCommand(append([]string{"table"}, flags...)...)
	var got [][]string
	for line := range strings.Lines(output) {
		got = append(got, strings.Fields(line))
	}
	want := [][]string{
		{"router", "zone", "version", "in", "force", "for", "reader", "refused"},
		{"a", "x", "8", "1m1s", "true"},
		{"b", "y", "7", "2s", "false", "8:", "table:", "bad-value", "accounts[0].weight"},
		{"c", "y", "8", "0s", "false"},
	}
	if diff := cmp.Diff(want, got); diff != "" || code != command.ExitOK {
		t.Errorf("exit code %d; rows (-want +got):\n%s", code, diff)
	}
	code, output = runCommand(append([]string{"table", "--wait", "8", "--timeout", "1ms"}, flags...)...)
	if want := "version 8 is not active on b after 1ms"; code == command.ExitOK || !strings.Contains(output, want) {
		t.Errorf("exit code %d; %q does not contain %q", code, output, want)
	}
}
