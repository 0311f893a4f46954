package main

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The figures of the sheet for the case of the joined streams, those of sites/quizfleet-wdh.
var joinedBounds = bounds{
	configApply: 2 * time.Second, pass: 120 * time.Millisecond, budgetWindow: 10 * time.Second, grace: 8 * time.Second,
	budgetRatio: 0.2, budgetExtra: 58,
}

const (
	streams        = 40
	streamDeadline = 15 * time.Second
	// mostJoined is how many streams of two versions the rule allows.
	mostJoined = 2
)

// stream is one stream of a client over all its tries.
type stream struct {
	first string
	last  int
	// before is the last event before the latest try.
	before   int
	versions map[string]bool
	whole    bool
	tries    []string
}

// playJoined: the workers of one version are replaced by those of another. The store forgets its history, and all
// router processes are killed.
func playJoined(p *play) (bool, error) {
	f, err := newFleet(p, joinedBounds, 3)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.Put("op/config", composeConfig())
	old, err := f.addComposer("i-1", "v1")
	if err != nil {
		return false, err
	}
	defer old.crash()
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	begun := time.Now()
	list := beginStreams(p, f, "s", begun, 0, true)
	time.Sleep(1500 * time.Millisecond)
	for _, id := range []string{"i-2", "i-3"} {
		w, err := f.addComposer(id, "v2")
		if err != nil {
			return false, err
		}
		defer w.crash()
	}
	p.record.say("two workers of the next version serve")
	time.Sleep(time.Second)
	f.store.Deregister(old.id)
	p.record.say("the entry of the last worker of the version before is removed; it serves on")
	time.Sleep(700 * time.Millisecond)
	if p.trouble {
		f.store.Compact()
		p.record.say("the store forgets its history")
	}
	time.Sleep(300 * time.Millisecond)
	f.kill(f.routers)
	list.tries.Wait()
	time.Sleep(700 * time.Millisecond)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for i, s := range list.streams {
		if s.whole || s.last == 0 {
			continue
		}
		list.tries.Go(func() {
			s.try(p, f.routers[(i+1)%len(f.routers)], fmt.Sprintf("s%03d-2", i), begun.Add(streamDeadline), 0)
		})
	}
	list.tries.Wait()
	return judgeJoined(p, list.streams), nil
}

// try sends one attempt, which takes the stream up where the attempts before have left it. The client leaves after a
// time, if that is not 0.
func (s *stream) try(p *play, r *router, id string, until time.Time, leave time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if leave > 0 {
		time.AfterFunc(leave, cancel)
	}
	s.before = s.last
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.callers+"/compose/x", nil)
	if err != nil {
		return
	}
	req.Host = host
	for name, value := range map[string]string{
		"Yarrowmast-Attempt-Id": id, "Yarrowmast-Key": apiKey, "Yarrowmast-Model": "m", "Yarrowmast-Token-Count": "300,400",
		"Yarrowmast-Prompt-Prefix": "5c1e07a2:200," + id + ":100", "Yarrowmast-Deadline-Ms": strconv.FormatInt(time.Until(until).Milliseconds(), 10),
	} {
		req.Header.Set(name, value)
	}
	if s.first == "" {
		s.first = id
	} else {
		req.Header.Set("Resumes", s.first)
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
	}
	p.record.say("client sends %s to %s, after event %d", id, r.name, s.last)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		s.note(p, id, "none")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.note(p, id, strconv.Itoa(resp.StatusCode))
		return
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(n)
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			s.versions[version] = true
		}
	}
	s.whole = lines.Err() == nil
	if s.whole {
		s.note(p, id, "200, whole")
		return
	}
	s.note(p, id, "200, cut")
}

func (s *stream) note(p *play, id, what string) {
	s.tries = append(s.tries, what)
	p.record.say("client gets %s for %s: events up to %d, of %v", what, id, s.last, slices.Sorted(maps.Keys(s.versions)))
}

// composeConfig is the operators' configuration of one engine service with a resumable route.
func composeConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-compose", "hostname": host, "pathPrefix": "/compose/", "routeKind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 800, "targetGapMs": 300,
			"priority": 1, "service": "composer", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{
			"name": "composer", "healthPath": "/health", "maxConns": 370, "engine": map[string]any{"slots": 64, "kvCapacityTokens": 511815},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 280000},
		"tenants": []any{map[string]any{"name": "moka", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// judgeJoined counts the streams that hold events of two versions.
func judgeJoined(p *play, list []*stream) bool {
	began, joined, whole := 0, 0, 0
	tries := map[string]int{}
	for _, s := range list {
		if s.last > 0 {
			began++
		}
		if len(s.versions) > 1 {
			joined++
			if s.whole {
				whole++
			}
		}
		for n, what := range s.tries {
			tries[fmt.Sprintf("try %d: %s", n+1, what)]++
		}
	}
	p.record.verdictLine("%d streams began; %d hold events of two versions, %d of them whole to their callers; %d are allowed; %v", began, joined, whole, mostJoined, tries)
	return joined <= mostJoined
}
