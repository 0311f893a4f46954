package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/dispatch"
	"github.com/yarrowmast/yarrowmast/internal/router"
)

// statusRow is one router's status, of either scheduler.
type statusRow struct {
	// Pools is the status of a router that owns pools, Servers that of one that owns
	// backend servers. One of them is nil.
	Pools   *router.Status
	Servers *dispatch.Status
}

// UnmarshalJSON implements json.Unmarshaler: only a router that owns backend servers
// tells its turn to read the platform.
func (s *statusRow) UnmarshalJSON(data []byte) error {
	var kind struct {
		Turn *int64 `json:"reader_turn"`
	}
	if err := json.Unmarshal(data, &kind); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	var into any
	if kind.Turn != nil {
		s.Servers = &dispatch.Status{}
		into = s.Servers
	} else {
		s.Pools = &router.Status{}
		into = s.Pools
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

// MarshalJSON implements json.Marshaler: as the router told it.
func (s *statusRow) MarshalJSON() ([]byte, error) {
	if s.Servers != nil {
		return json.Marshal(s.Servers)
	}
	return json.Marshal(s.Pools)
}

// statusHead names the columns of columns.
const statusHead = "router\tzone\ttable\towned\twaiting\trunning\tleases\tidle\tclosed zones\tunusable\tleave, rest\tsuspects\tstate"

// columns are a router's values in a line.
func (s *statusRow) columns() string {
	if p := s.Pools; p != nil {
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t-\t-\t-\t-\t%s", p.Name, p.Zone, p.Table, len(p.Pools), p.AllWaiting(), p.AllRunning(), p.Leases, p.IdleLeases, stateOf(p.Draining, p.Table))
	}
	d := s.Servers
	closed := "-"
	if len(d.ClosedZones) > 0 {
		closed = strings.Join(d.ClosedZones, ",")
	}
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t-\t-\t-\t%s\t%s\t%s\t%s\t%s", d.Name, d.Zone, d.Table, len(d.Owned), d.Waiting, closed, unusableOf(d), wordsOf(d), suspectsOf(d), stateOf(d.Draining, d.Table)+suspendedOf(d))
}

// unusableOf tells how many entries of the directory cannot be used, and names the first.
func unusableOf(d *dispatch.Status) string {
	if d.UnusableCount == 0 || len(d.Unusable) == 0 {
		return "-"
	}
	first := d.Unusable[0]
	return fmt.Sprintf("%d: %s", d.UnusableCount, strings.TrimSpace(strings.Join([]string{first.Backend, string(first.Reason), first.Field}, " ")))
}

// wordsOf tells how many backend servers leave and how many rest, by their own word.
func wordsOf(d *dispatch.Status) string {
	if len(d.Leaving)+len(d.BackingOff) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d, %d", len(d.Leaving), len(d.BackingOff))
}

// suspectsOf tells how many requests were at ends of backend servers, and names the worst.
func suspectsOf(d *dispatch.Status) string {
	if d.SuspectCount == 0 || len(d.Suspects) == 0 {
		return "-"
	}
	worst := d.Suspects[0]
	return fmt.Sprintf("%d: %s %d ends", d.SuspectCount, worst.Digest, worst.Crashes)
}

// suspendedOf tells for how long the router's machine was suspended.
func suspendedOf(d *dispatch.Status) string {
	if d.SuspendedMillis == 0 {
		return ""
	}
	return fmt.Sprintf(", was suspended for %v", (time.Duration(d.SuspendedMillis) * time.Millisecond).Round(100*time.Millisecond))
}

// stateOf says in a word whether a router with a table's revision, 0 for none, serves.
func stateOf(draining bool, revision uint64) string {
	switch {
	case draining:
		return "stopping"
	case revision == 0:
		return "starting"
	default:
		return "serving"
	}
}
