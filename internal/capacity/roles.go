package capacity

import (
	"fmt"
	"io"

	"github.com/yarrowmast/yarrowmast/pkg/once"
)

// Role is the cost of one role of a router, for a fleet of a given size.
type Role struct {
	Name string
	// State describes the state that the role holds, Mechanism what bounds its cost.
	State     string
	Mechanism string
	// MessagesPerSec and BytesPerSec count both directions.
	MessagesPerSec float64
	BytesPerSec    float64
	// CPU is a fraction of one core, Memory is in bytes.
	CPU    float64
	Memory float64
}

const micro = 1e-6

// perSecond converts a rate per day to a rate per second.
func perSecond(perDay float64) float64 { return perDay / day.Seconds() }

// waitingPerNode is the number of waiting requests that a node is sized for.
const waitingPerNode = 2000

// tablePages is the number of pages that the table is divided into. Readers fetch one page after an
// edit.
const tablePages = 16

// ticksPerSec is the rate of Tick events in a router.
const ticksPerSec = 20

// load holds the request load of one node, from which the roles derive their costs.
type load struct {
	Target
	Slopes
	// codec is the time to encode or decode one message, in seconds.
	codec float64
	// requests and grants are per second. A lent lease takes two grants.
	requests float64
	grants   float64
	// models counts the models with requests in flight, waiting those with waiting requests.
	models  float64
	waiting float64
}

func newLoad(t Target, s Slopes) load {
	models := min(t.Models, t.inFlight())
	return load{
		Target: t, Slopes: s, codec: s.CodecMicros * micro / 2,
		requests: t.perNode(), grants: t.perNode() * (1 + t.LentShare),
		models: models, waiting: min(models, t.Backlogged/t.nodesPerZone()),
	}
}

// Roles returns the cost of each role. It assumes that every request goes to a contended pool, which
// is the most expensive case: other pools use standing leases, which need no message per request.
func Roles(t Target, s Slopes) []Role {
	l := newLoad(t, s)
	return []Role{l.holder(), l.owner(), l.prober(), l.reader(), l.keyHome()}
}

// addLeaseMessages adds the messages that a holder and an owner exchange.
func (l load) addLeaseMessages(r *Role) {
	r.add(l.grants, l.GrantBytes+l.FrameBytes, l.codec)
	r.add(l.requests, l.ReturnBytes+l.FrameBytes, l.codec)
	r.add(l.models*l.ReportsPerSec, l.ReportBytes+l.FrameBytes, l.codec)
	r.BytesPerSec += l.inFlight() * l.ReportsPerSec * l.ReportRowBytes
	r.add(l.waiting*l.ReportsPerSec, l.DemandBytes+l.FrameBytes+l.DemandRowBytes, l.codec)
}

func (l load) holder() Role {
	r := Role{
		Name:      "holder",
		State:     fmt.Sprintf("%.0f running, up to %d waiting requests", l.inFlight(), waitingPerNode),
		Mechanism: "counts, not requests, travel; reports twice a second; standing leases where nothing waits",
	}
	l.addLeaseMessages(&r)
	r.CPU += l.requests*l.RequestMicros*micro + ticksPerSec*l.TickMicros*micro
	r.Memory = l.WaitingMemory*waitingPerNode + l.OpenMemory*(waitingPerNode+l.inFlight())
	return r
}

func (l load) owner() Role {
	r := Role{
		Name:      "pool owner",
		State:     fmt.Sprintf("%.2f pools, %.1f backlogged accounts each", l.ModelZonesPerNode, l.accountsPerModel()),
		Mechanism: "owners by rendezvous hashing; at most 8 backend servers a pool; shares rarer with more siblings",
	}
	l.addLeaseMessages(&r)
	shares := 2 * l.ModelZonesPerNode * (l.Zones - 1) * l.SharesPerSec
	r.add(shares, l.ShareBytes+l.FrameBytes+l.accountsPerModel()*l.ShareRowBytes, l.codec+l.ShareMicros*micro/2)
	r.CPU += l.requests * l.GrantMicros * micro
	r.Memory = l.ModelZonesPerNode * l.Accounts * l.AccountMemory
	return r
}

func (l load) prober() Role {
	r := Role{
		Name:      "prober",
		State:     fmt.Sprintf("%.0f members of the zone", l.nodesPerZone()),
		Mechanism: "four probes a second each, rumours ride on them",
	}
	changes := perSecond(l.FailuresPerDay+2*l.RestartsPerDay) / l.Zones
	r.add(4*l.ProbesPerSec, l.ProbeBytes+l.FrameBytes, l.codec+l.ProbeMicros*micro)
	r.BytesPerSec += changes * 2 * sendsPerRumour * l.RumourBytes
	r.Memory = l.nodesPerZone() * l.MemberMemory
	return r
}

func (l load) reader() Role {
	rows := l.Accounts + l.Backends
	r := Role{
		Name:      "table reader",
		State:     fmt.Sprintf("%.0f rows, the last 64 changes", rows),
		Mechanism: "two readers a zone watch pages; one changed row goes to each router",
	}
	edits := perSecond(l.ChangesPerDay)
	tableBytes := rows * l.TableRowBytes
	r.add(edits*2*l.nodesPerZone(), l.DeltaBytes+l.FrameBytes, l.codec)
	r.BytesPerSec += edits * tableBytes / tablePages
	r.BytesPerSec += perSecond(l.RestartsPerDay) / l.Zones * tableBytes
	r.Memory = 3 * rows * l.TableRowMemory
	return r
}

func (l load) keyHome() Role {
	claims := once.HomesPerKey * l.requests * l.KeyedShare
	r := Role{
		Name:      "key home",
		State:     fmt.Sprintf("%.0f keys of the last 10 minutes", claims*once.DefaultRetention.Seconds()),
		Mechanism: "three homes a key by the platform's list; at most 200000 keys a router",
	}
	r.add(2*claims, l.ClaimBytes+l.FrameBytes, l.codec)
	r.add(2*claims, l.ClaimAnswerBytes+l.FrameBytes, l.codec)
	r.CPU += claims * l.ClaimMicros * micro
	r.Memory = claims * once.DefaultRetention.Seconds() * l.KeyMemory
	return r
}

// sendsPerRumour is how often each router forwards a rumour.
const sendsPerRumour = 8

func (r *Role) add(perSec, bytes, seconds float64) {
	r.MessagesPerSec += perSec
	r.BytesPerSec += perSec * bytes
	r.CPU += perSec * seconds
}

// Sum returns the cost of a node with all roles.
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

// PrintTable writes the roles as the Markdown table of docs/CAPACITY.md.
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
