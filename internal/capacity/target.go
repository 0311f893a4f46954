// Package capacity estimates what each role of a router costs at the size that the fleet is designed
// for, from measured costs per message, step and element.
package capacity

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/member"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
)

// Target is the size of a fleet.
type Target struct {
	Nodes             float64
	Backends          float64
	Zones             float64
	Models            float64
	Accounts          float64
	Backlogged        float64
	RequestsPerSec    float64
	TokensPerSec      float64
	SecondsPerToken   float64
	ChangesPerDay     float64
	FailuresPerDay    float64
	RestartsPerDay    float64
	KeyedShare        float64
	LentShare         float64
	PlatformPerSec    float64
	ControlBytes      float64
	ControlCPU        float64
	ControlMemory     float64
	ReportsPerSec     float64
	ProbesPerSec      float64
	SharesPerSec      float64
	ModelZonesPerNode float64
}

// DesignTarget returns the size that the fleet is designed for.
func DesignTarget() Target {
	const zones = 14
	t := Target{
		Nodes: 400, Backends: 1800, Zones: zones, Models: 38, Accounts: 3600, Backlogged: 360,
		RequestsPerSec: 6500, TokensPerSec: 1.7e6, SecondsPerToken: 0.030,
		ChangesPerDay: 1600, FailuresPerDay: 42, RestartsPerDay: 270,
		KeyedShare: 0.1, LentShare: 0.45, PlatformPerSec: 2000,
		ControlBytes: 8192, ControlCPU: 0.015, ControlMemory: 128 << 20,
	}
	t.ReportsPerSec = 1 / hold.ReportInterval(hold.DefaultReportInterval, int(t.Models)).Seconds()
	t.ProbesPerSec = 1 / member.DefaultProbeInterval.Seconds()
	t.SharesPerSec = 1 / pool.ShareInterval(pool.DefaultShareInterval, zones-1).Seconds()
	t.ModelZonesPerNode = t.Models * t.Zones / t.Nodes
	return t
}

// perNode returns the requests per second of one node.
func (t Target) perNode() float64 { return t.RequestsPerSec / t.Nodes }

// inFlight returns the requests in flight at one node.
func (t Target) inFlight() float64 {
	tokens := t.TokensPerSec / t.RequestsPerSec
	return t.perNode() * tokens * t.SecondsPerToken
}

// accountsPerModel returns the number of backlogged accounts of one model.
func (t Target) accountsPerModel() float64 { return t.Backlogged / t.Models }

// nodesPerZone returns the number of routers in a zone.
func (t Target) nodesPerZone() float64 { return t.Nodes / t.Zones }

const day = 24 * time.Hour
