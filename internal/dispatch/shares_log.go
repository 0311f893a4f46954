package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

const (
	// sharesLogInterval is the interval of log lines while accounts are throttled.
	sharesLogInterval = time.Second
	// reportedShare is the fraction of its share below which an account that waits is logged, whether
	// or not any is throttled.
	reportedShare = 0.5
)

// logShares logs how the engines' throughput is divided, once in sharesLogInterval while that matters.
func (s *state) logShares() {
	s.logShortage()
	if s.now-s.sharesLoggedAt < sharesLogInterval {
		return
	}
	s.sharesLoggedAt = s.now
	sh := s.core.Shares(s.now)
	if sh.Throttled == 0 && !sh.Short && sh.LeastServedFraction >= reportedShare {
		return
	}
	s.d.opt.log.Info("shares", "asked", int64(sh.Demand), "begun", int64(sh.Started),
		"level", int64(sh.FairShare), "engine_level", int64(sh.EngineShare), "screened", sh.Throttled, "least_part", sh.MinFraction,
		"least_served", sh.LeastServedFraction, "least_account", s.accountName(sh.LeastServedAccount), "least_begun", int64(sh.LeastServed),
		"most_account", s.accountName(sh.MostServedAccount), "most_begun", int64(sh.MostServed),
		"total", int64(sh.Total), "free", int64(sh.Free), "short", sh.Short, "report_age_ms", sh.ReportAge.Milliseconds())
}

// logShortage logs when the fleet becomes short of capacity, and when it no longer is.
func (s *state) logShortage() {
	isShort := s.core.IsShort(s.now)
	if isShort == s.isShort {
		return
	}
	sh, lasted := s.core.Shares(s.now), s.now-s.shortChangedAt
	s.isShort, s.shortChangedAt = isShort, s.now
	s.d.opt.log.Info("shortage", "short", isShort, "before_ms", lasted.Milliseconds(), "asked", int64(sh.Demand), "begun", int64(sh.Started),
		"most_account", s.accountName(sh.MostServedAccount), "most_begun", int64(sh.MostServed), "total", int64(sh.Total), "free", int64(sh.Free))
}

// accountName returns the name of an account in the table, "" if it is not there.
func (s *state) accountName(key wire.NameHash) string {
	t := s.d.Table()
	if t == nil || key == 0 {
		return ""
	}
	for i := range t.Accounts {
		if wire.HashName(t.Accounts[i].Name) == key {
			return t.Accounts[i].Name
		}
	}
	return ""
}
