package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

// deployment is a small deployment with the figures of a site.
type deployment struct {
	bounds stage.Bounds
	// perRouter is the number of requests a second that each router gets.
	perRouter float64
	// reader is the service of model workers, which have slots each; nil if there is none.
	reader *modelService
	// desk is the service of plain workers, nil if there is none.
	desk *plainService
}

type modelService struct {
	name                    string
	slots                   int
	cacheTokens             int64
	route                   string
	targetMs, gapMs         int
	timeoutMs, maxConns     int
	sharedTokens, ownTokens int
	coldTime                time.Duration
	coldPerSecond           float64
	// attempts and resumable are those of the route; versions are the software versions of the workers,
	// v1 where none is given.
	attempts  int
	resumable bool
	versions  []string
}

// version returns the software version of a worker, given its index.
func (m *modelService) version(i int) string {
	if len(m.versions) == 0 {
		return "v1"
	}
	return m.versions[i%len(m.versions)]
}

type plainService struct {
	name, route         string
	targetMs, timeoutMs int
	maxConns            int
	work                time.Duration
}

const (
	host = "forms.example"
	key  = "asnmgkcuyj8pjbvk9m68"
	// coldOverage and coldSlack are those of the sites.
	coldOverage = 1.5
	coldSlack   = 5
)

// coldBound is the number of requests that a cold worker may get in a second.
func (m *modelService) coldBound() float64 { return m.coldPerSecond*coldOverage + coldSlack }

// configuration is the operators' configuration.
func (d *deployment) configuration(version int) map[string]any {
	var routes, services []any
	if m := d.reader; m != nil {
		routes = append(routes, map[string]any{
			"name": m.route, "hostname": host, "pathPrefix": "/" + m.route + "/", "routeKind": "streaming", "timeoutMs": m.timeoutMs, "targetLatencyMs": m.targetMs,
			"targetGapMs": m.gapMs, "priority": 1, "service": m.name, "maxAttempts": max(1, m.attempts), "public": false, "sticky": true, "resumable": m.resumable,
		})
		services = append(services, map[string]any{
			"name": m.name, "healthPath": "/health", "maxConns": m.maxConns, "protocol": "h1", "tls": false, "coldStartS": m.coldTime.Seconds(), "coldPerS": m.coldPerSecond,
			"engine": map[string]any{"slots": m.slots, "kvCapacityTokens": m.cacheTokens, "kvTokenBytes": 18432, "models": []any{map[string]any{"name": "m"}}},
		})
	}
	if p := d.desk; p != nil {
		routes = append(routes, map[string]any{
			"name": p.route, "hostname": host, "pathPrefix": "/" + p.route + "/", "routeKind": "unsafe", "timeoutMs": p.timeoutMs, "targetLatencyMs": p.targetMs,
			"priority": 2, "service": p.name, "maxAttempts": 1, "public": true,
		})
		services = append(services, map[string]any{"name": p.name, "healthPath": "/health", "maxConns": p.maxConns, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 2300000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	}
}

// prompts is the number of shared prompt parts that are asked for in turn.
const prompts = 40

// question returns a request for the model workers.
func (m *modelService) question(n int) stage.Request {
	parts := fmt.Sprintf("%x:%d,%x:%d", 0x5c1e0000+n%prompts, m.sharedTokens, 0x91bd0000+n, m.ownTokens)
	return stage.Request{
		Method: "POST", Host: host, Path: "/" + m.route + "/2f", Key: key, Body: "question", Deadline: time.Duration(m.timeoutMs) * time.Millisecond,
		Header: map[string]string{
			"Yarrowmast-Model": "m", "Yarrowmast-Token-Count": strconv.Itoa(m.sharedTokens+m.ownTokens) + ",40", "Yarrowmast-Prompt-Prefix": parts,
		},
	}
}

// submission returns a request for the plain workers that must not run twice, for a household.
func (p *plainService) submission(household string) stage.Request {
	return stage.Request{Method: "POST", Host: host, Path: "/" + p.route + "/2f", Body: household, Deadline: 2 * time.Duration(p.timeoutMs) * time.Millisecond}
}

// fleet is what a play runs.
type fleet struct {
	*deployment
	routers []*stage.Router
	readers []*stage.Worker
	desks   []*stage.Desk
}

// startLimit is how long the routers may take to be ready.
const startLimit = 10 * time.Second

// start starts a router and a worker of each service in each zone, and waits until the routers are ready.
func (d *deployment) start(s *stage.Stage) (*fleet, error) {
	f := &fleet{deployment: d}
	s.Store.Put("op/config", d.configuration(7))
	for i, zone := range d.bounds.Zones {
		if d.reader != nil {
			w, err := s.AddWorker(fmt.Sprintf("i-7f3a91c%d", i), zone, d.reader.name, d.reader.version(i), d.reader.slots)
			if err != nil {
				return nil, err
			}
			f.readers = append(f.readers, w)
		}
		if d.desk != nil {
			w, err := s.AddDesk(fmt.Sprintf("i-0bd818c%d", i), zone, d.desk.name, d.desk.work)
			if err != nil {
				return nil, err
			}
			f.desks = append(f.desks, w)
		}
		r, err := s.AddRouter("front-"+zone+"-1", zone)
		if err != nil {
			return nil, err
		}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		if err := f.startRouter(s, r, f.seeds()); err != nil {
			return nil, err
		}
	}
	for _, r := range f.routers {
		if err := r.AwaitReady(startLimit); err != nil {
			return nil, err
		}
	}
	s.Note("the routers are ready")
	return f, nil
}

// startRouter writes the settings of a router and starts it.
func (f *fleet) startRouter(s *stage.Stage, r *stage.Router, seeds []string) error {
	if err := r.WriteSettings(s.Store.Address(), seeds, &f.bounds); err != nil {
		return err
	}
	return r.Start()
}

// maxSeeds is the number of machines that the settings name as seeds.
const maxSeeds = 3

// seeds are the control addresses of the first machines.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, r := range f.routers[:min(maxSeeds, len(f.routers))] {
		seeds = append(seeds, r.Peers)
	}
	return seeds
}
