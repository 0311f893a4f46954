package capacity

import (
	"fmt"
	"io"
)

// Role is what one part that a router plays costs it at a size.
type Role struct {
	Name string
	// State is what it holds, Mechanism what keeps it within bounds.
	State     string
	Mechanism string
	// MessagesPerSec and BytesPerSec count both directions.
	MessagesPerSec float64
	BytesPerSec    float64
	// CPU is the share of one core, Memory is in bytes.
	CPU    float64
	Memory float64
}

const micro = 1e-6

// dailyUpdates spreads what happens a number of times a day over the second.
func dailyUpdates(perDay float64) float64 { return perDay / day.Seconds() }

// keysKept is how long a key is remembered, in seconds.
const keysKept = 600

// waitingEach is how many waiting requests a node is sized for.
const waitingEach = 2000

// tablePages is on how many pages operators should keep the table at the
// target size: an edit makes the readers fetch one of them.
const tablePages = 16

// ticksPerSec is the rate of a router's own clock.
const ticksPerSec = 20

// Roles works the roles out. Every request counts as one on a contended pool,
// which is the dear case: on others standing leases need no message for a
// request, and a renewal with each report.
func Roles(t Target, s Slopes) []Role {
	frame := s.FrameBytes
	codec := s.CodecMicros * micro / 2
	requests := t.perNode()
	grants := requests * (1 + t.LentShare)
	models := min(t.Models, t.inFlight())

	holder := Role{
		Name:      "holder",
		State:     fmt.Sprintf("%.0f running, up to %d waiting requests", t.inFlight(), waitingEach),
		Mechanism: "counts, not requests, travel; reports twice a second; standing leases where nothing waits",
	}
	holder.add(grants, s.GrantBytes+frame, codec)
	holder.add(requests, s.ReturnBytes+frame, codec)
	holder.add(models*t.ReportsPerSec, s.ReportBytes+frame, codec)
	holder.BytesPerSec += t.inFlight() * t.ReportsPerSec * s.ReportRowBytes
	waitingModels := min(models, t.Backlogged/t.nodesPerZone())
	holder.add(waitingModels*t.ReportsPerSec, s.DemandBytes+frame+s.DemandRowBytes, codec)
	holder.CPU += requests*s.RequestMicros*micro + ticksPerSec*s.TickMicros*micro
	holder.Memory = s.WaitingMemory*waitingEach + s.OpenMemory*(waitingEach+t.inFlight())

	owner := Role{
		Name:      "pool owner",
		State:     fmt.Sprintf("%.2f pools, %.1f backlogged accounts each", t.ModelZonesPerNode, t.accountsPerModel()),
		Mechanism: "owners by rendezvous hashing; at most 8 backend servers a pool; shares rarer with more siblings",
	}
	owner.add(grants, s.GrantBytes+frame, codec)
	owner.add(requests, s.ReturnBytes+frame, codec)
	owner.add(models*t.ReportsPerSec, s.ReportBytes+frame, codec)
	owner.BytesPerSec += t.inFlight() * t.ReportsPerSec * s.ReportRowBytes
	owner.add(waitingModels*t.ReportsPerSec, s.DemandBytes+frame+s.DemandRowBytes, codec)
	shares := 2 * t.ModelZonesPerNode * (t.Zones - 1) * t.SharesPerSec
	owner.add(shares, s.ShareBytes+frame+t.accountsPerModel()*s.ShareRowBytes, codec+s.ShareMicros*micro/2)
	owner.CPU += requests * s.GrantMicros * micro
	owner.Memory = t.ModelZonesPerNode * t.Accounts * s.AccountMemory

	prober := Role{
		Name:      "prober",
		State:     fmt.Sprintf("%.0f members of the zone", t.nodesPerZone()),
		Mechanism: "four probes a second each, rumours ride on them",
	}
	changes := dailyUpdates(t.FailuresPerDay+2*t.RestartsPerDay) / t.Zones
	prober.add(4*t.ProbesPerSec, s.ProbeBytes+frame, codec+s.ProbeMicros*micro)
	prober.BytesPerSec += changes * 2 * rumourSends * s.RumourBytes
	prober.Memory = t.nodesPerZone() * s.MemberMemory

	reader := Role{
		Name:      "table reader",
		State:     fmt.Sprintf("%.0f rows, the last 64 changes", t.Accounts+t.Workers),
		Mechanism: "two readers a zone watch pages; one changed row goes to each router",
	}
	edits := dailyUpdates(t.ChangesPerDay)
	whole := (t.Accounts + t.Workers) * s.TableRowBytes
	reader.add(edits*2*t.nodesPerZone(), s.DeltaBytes+frame, codec)
	reader.BytesPerSec += edits * whole / tablePages
	reader.BytesPerSec += dailyUpdates(t.RestartsPerDay) / t.Zones * whole
	reader.Memory = 3 * (t.Accounts + t.Workers) * s.TableRowMemory

	keys := Role{
		Name:      "key home",
		State:     fmt.Sprintf("%.0f keys of the last 10 minutes", 3*requests*t.KeyedShare*keysKept),
		Mechanism: "three homes a key by the platform's list; at most 200000 keys a router",
	}
	keys.add(2*3*requests*t.KeyedShare, s.ClaimBytes+frame, codec)
	keys.add(2*3*requests*t.KeyedShare, s.ClaimAnswerBytes+frame, codec)
	keys.CPU += 3 * requests * t.KeyedShare * s.ClaimMicros * micro
	keys.Memory = 3 * requests * t.KeyedShare * keysKept * s.KeyMemory

	return []Role{holder, owner, prober, reader, keys}
}

// rumourSends is how often a change is passed on by each router.
const rumourSends = 8

func (r *Role) add(perSec, bytes, seconds float64) {
	r.MessagesPerSec += perSec
	r.BytesPerSec += perSec * bytes
	r.CPU += perSec * seconds
}

// Sum adds roles up, for a node that plays them all.
func Sum(roles []Role) Role {
	all := Role{Name: "all on one node"}
	for _, r := range roles {
		all.MessagesPerSec += r.MessagesPerSec
		all.BytesPerSec += r.BytesPerSec
		all.CPU += r.CPU
		all.Memory += r.Memory
	}
	return all
}

// PrintTable writes the roles as a table in Markdown, as docs/CAPACITY.md has
// it.
func PrintTable(w io.Writer, t Target, s Slopes) error {
	roles := Roles(t, s)
	_, err := fmt.Fprintln(w, "| role | state | messages/s | bytes/s | core | memory | carried by |\n|---|---|---|---|---|---|---|")
	if err != nil {
		return err
	}
	for _, r := range append(roles, Sum(roles)) {
		_, err = fmt.Fprintf(w, "| %s | %s | %.0f | %.0f | %.2f%% | %.1f MB | %s |\n",
			r.Name, r.State, r.MessagesPerSec, r.BytesPerSec, 100*r.CPU, r.Memory/(1<<20), r.Mechanism)
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "| allowed | | | %.0f | %.2f%% | %.0f MB | |\n", t.ControlBytes, 100*t.ControlCPU, t.ControlMemory/(1<<20))
	return err
}
