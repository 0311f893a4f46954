package table

import (
	"fmt"
	"math"
	"strings"
	"time"
)

func (c *checker) route(i int, r *Route) {
	c.name("route", r.Name, "routes", i, "name")
	if r.Host == "" {
		c.doc.Add("is missing; write the host name that clients use", "routes", i, "host")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.doc.Add(fmt.Sprintf("%q must begin and end with a slash", r.Prefix), "routes", i, "prefix")
	}
	if len(r.Targets) == 0 {
		c.doc.Add("is empty; list at least one service", "routes", i, "targets")
	}
	for k, t := range r.Targets {
		if t.Service == "" || !(t.Weight > 0) || t.Weight > maxWeight {
			c.doc.Add(fmt.Sprintf("needs a service and a weight above 0 and up to %v", float64(maxWeight)), "routes", i, "targets", k)
		}
	}
	c.repeat(i, r)
	c.regions(r.Regions, "routes", i, "regions")
	for _, d := range []struct {
		field string
		value time.Duration
	}{{"timeout", r.Timeout}, {"target", r.TargetLatency}, {"pause", r.TargetGap}, {"attempts", time.Duration(r.Attempts)}} {
		if d.value < 0 {
			c.doc.Add("must not be negative", "routes", i, d.field)
		}
	}
}

func (c *checker) repeat(i int, r *Route) {
	switch r.Repeat {
	case "":
		r.Repeat = RepeatNever
	case RepeatNever, RepeatSafe:
	case RepeatResume:
		if !r.Stream {
			c.doc.Add("only streams can be resumed; set stream too, or write never or safe", "routes", i, "repeat")
		}
	default:
		c.doc.Add(fmt.Sprintf("%q is unknown; write never, safe or resume", r.Repeat), "routes", i, "repeat")
	}
}

func (c *checker) service(i int, s *ServiceRow) {
	c.name("service", s.Name, "services", i, "name")
	if s.Health != "" && !strings.HasPrefix(s.Health, "/") {
		c.doc.Add(fmt.Sprintf("%q must begin with a slash", s.Health), "services", i, "health")
	}
	if s.MaxConnections < 0 {
		c.doc.Add("must not be negative", "services", i, "max_connections")
	}
	if !(s.WarmupRate >= 0) || math.IsInf(s.WarmupRate, 0) {
		c.doc.Add("must be a finite number that is not negative", "services", i, "warmup_rate")
	}
	if s.WarmupTime < 0 {
		c.doc.Add("must not be negative", "services", i, "warmup_time")
	}
	if s.CacheTokens < 0 {
		c.doc.Add("must not be negative", "services", i, "cache_tokens")
	}
}

// bounds validates a page's bounds and adds them to the table. Only one page may have any.
func (c *checker) bounds(t *Table, b *Bounds) {
	if *b == (Bounds{}) {
		return
	}
	if t.Bounds != (Bounds{}) {
		c.doc.Add("occur on another page too; keep them on one", "bounds")
	}
	if b.HeaderBytes < 0 || b.BodyBytes < 0 || b.HeaderTime < 0 || b.IdleTime < 0 || !(b.TokensPerSecond >= 0) {
		c.doc.Add("must not be negative", "bounds")
	}
	t.Bounds = *b
}
