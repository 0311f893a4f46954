package table

import (
	"fmt"
	"strings"
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
	c.time(r.Timeout, "routes", i, "timeout")
	c.time(r.TargetLatency, "routes", i, "target")
	c.time(r.TargetGap, "routes", i, "pause")
	c.count(int64(r.Attempts), "routes", i, "attempts")
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
	c.count(int64(s.MaxConnections), "services", i, "max_connections")
	c.rate(s.WarmupRate, "services", i, "warmup_rate")
	if s.WarmupRate > 0 && s.WarmupRate < MinWarmupRate {
		c.doc.Add(fmt.Sprintf("is %v; write 0 for no warm-up, or at least %v", s.WarmupRate, MinWarmupRate), "services", i, "warmup_rate")
	}
	c.time(s.WarmupTime, "services", i, "warmup_time")
	c.count(s.CacheTokens, "services", i, "cache_tokens")
}

// bounds validates a page's bounds and adds them to the table. Only one page may have any.
func (c *checker) bounds(t *Table, b *Bounds) {
	if *b == (Bounds{}) {
		return
	}
	if t.Bounds != (Bounds{}) {
		c.doc.Add("occur on another page too; keep them on one", "bounds")
	}
	c.count(int64(b.HeaderBytes), "bounds", "header_bytes")
	c.count(b.BodyBytes, "bounds", "body_bytes")
	c.time(b.HeaderTime, "bounds", "header_time")
	c.time(b.IdleTime, "bounds", "idle_time")
	c.rate(b.TokensPerSecond, "bounds", "tokens_per_second")
	t.Bounds = *b
}
