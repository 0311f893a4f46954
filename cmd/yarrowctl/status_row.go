package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/internal/router"
)

// statusRow is the status of one router, which runs either of two schedulers.
type statusRow struct {
	// Pools is set for a router with the pool scheduler, Servers for a router with the
	// dispatch scheduler. The other one is nil.
	Pools   *router.Status
	Servers *dispatch.Status
}

// UnmarshalJSON implements json.Unmarshaler. Only the dispatch scheduler reports reader_turn.
func (s *statusRow) UnmarshalJSON(data []byte) error {
	var probe struct {
		Turn *int64 `json:"reader_turn"`
	}
	if err := json.Unmarshal(data, &probe); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	var target any
	if probe.Turn != nil {
		s.Servers = &dispatch.Status{}
		target = s.Servers
	} else {
		s.Pools = &router.Status{}
		target = s.Pools
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (s *statusRow) MarshalJSON() ([]byte, error) {
	if s.Servers != nil {
		return json.Marshal(s.Servers)
	}
	return json.Marshal(s.Pools)
}

// name returns the name of the router.
func (s *statusRow) name() string {
	if s.Pools != nil {
		return s.Pools.Name
	}
	return s.Servers.Name
}

// statusHeader is the header of the columns that columns returns.
const statusHeader = "router\tzone\ttable\towned\twaiting\trunning\tleases\tidle\tclosed zones\tunusable\tleave, rest\tsuspects\tstate"

// columns returns the cells of a router, separated by tabs.
func (s *statusRow) columns() string {
	if p := s.Pools; p != nil {
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t-\t-\t-\t-\t%s", p.Name, p.Zone, p.Table, len(p.Pools), p.TotalWaiting(), p.TotalRunning(), p.Leases, p.IdleLeases, routerState(p.Draining, p.Table))
	}
	d := s.Servers
	closed := "-"
	if len(d.ClosedZones) > 0 {
		closed = strings.Join(d.ClosedZones, ",")
	}
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t-\t-\t-\t%s\t%s\t%s\t%s\t%s", d.Name, d.Zone, d.Table, len(d.Owned), d.Waiting, closed, formatUnusable(d), formatNotices(d), formatSuspects(d), routerState(d.Draining, d.Table)+formatSuspended(d))
}

// formatUnusable returns the number of unusable entries of the platform and the first of them.
func formatUnusable(d *dispatch.Status) string {
	if d.UnusableCount == 0 || len(d.Unusable) == 0 {
		return "-"
	}
	first := d.Unusable[0]
	return fmt.Sprintf("%d: %s", d.UnusableCount, strings.TrimSpace(strings.Join([]string{first.Backend, string(first.Reason), first.Field}, " ")))
}

// formatNotices returns how many backend servers announced that they leave, and how many
// asked for no requests for a while.
func formatNotices(d *dispatch.Status) string {
	if len(d.Leaving)+len(d.BackingOff) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d, %d", len(d.Leaving), len(d.BackingOff))
}

// formatSuspects returns the number of suspect requests and the one with the most crashes.
func formatSuspects(d *dispatch.Status) string {
	if d.SuspectCount == 0 || len(d.Suspects) == 0 {
		return "-"
	}
	worst := d.Suspects[0]
	return fmt.Sprintf("%d: %s %d ends", d.SuspectCount, worst.Digest, worst.Crashes)
}

// formatSuspended returns for how long the router's machine was suspended.
func formatSuspended(d *dispatch.Status) string {
	if d.SuspendedMillis == 0 {
		return ""
	}
	return fmt.Sprintf(", was suspended for %v", (time.Duration(d.SuspendedMillis) * time.Millisecond).Round(100*time.Millisecond))
}

// routerState returns the state of a router whose table has the revision, 0 without a table.
func routerState(draining bool, revision uint64) string {
	switch {
	case draining:
		return "stopping"
	case revision == 0:
		return "starting"
	default:
		return "serving"
	}
}
