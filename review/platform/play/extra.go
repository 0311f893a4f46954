package main

import (
	"context"
	"fmt"
	"time"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

// submissions has the figures of the site ramdin-census.
func submissions() *deployment {
	return &deployment{
		bounds: stage.Bounds{
			ConfigApplyMs: 2000, PassMs: 120, BudgetExtra: 54, BudgetWindowS: 10, BudgetRatio: 0.2, GraceS: 8,
			Processors: 0.4, MemoryMB: 284, Descriptors: 4200, Region: "mu-island", Zones: []string{"port-louis", "ebene", "curepipe"},
		},
		perRouter: 50,
		desk:      &plainService{name: "returns-desk", route: "return-submit", targetMs: 300, timeoutMs: 1500, maxConns: 100, work: 60 * time.Millisecond},
	}
}

const (
	// extraTime is for how long a worker sends second answers, extraEvery the number of answers of which
	// one has a second one: the dose of the site, for 5 s and 0.03 of the answers.
	extraTime  = 5 * time.Second
	extraEvery = 34
	// submissionTries is how often a client sends a submission that was refused as not run.
	submissionTries = 2
)

// playExtra lets one of three workers send second answers, late.
func playExtra(s *stage.Stage) (int, error) {
	f, err := submissions().start(s)
	if err != nil {
		return 0, err
	}
	clients := stage.NewClients("5417fbdf")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, r := range f.routers {
		go clients.Pace(ctx, f.perRouter, func(n int) {
			clients.SendUntilServed(r.Callers, f.desk.submission(fmt.Sprintf("household %d of %s", n, r.Zone)), submissionTries)
		})
	}
	time.Sleep(5 * time.Second)
	faulty := f.desks[0]
	if s.Trouble {
		faulty.SetExtra(extraEvery)
		s.Note("worker %s sends a second answer after one of %d answers", faulty.ID, extraEvery)
	}
	time.Sleep(extraTime)
	faulty.SetExtra(0)
	s.Note("no more second answers; %d were sent", faulty.Extras())
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	return f.judgeRefused(s, clients), nil
}

// judgeRefused applies the rule REFUSED.
func (f *fleet) judgeRefused(s *stage.Stage, clients *stage.Clients) int {
	s.RecordTraffic(clients)
	ranAt, entered := map[string]string{}, map[string]int{}
	for _, d := range f.desks {
		for _, x := range d.Runs() {
			ranAt[x.ID] = d.ID
			entered[x.Body]++
		}
	}
	twice := 0
	for household, n := range entered {
		if n > 1 {
			twice++
			s.Note("%s was entered %d times", household, n)
		}
	}
	broken, statuses := 0, map[int]int{}
	for _, a := range clients.Answers() {
		statuses[a.Status]++
		switch a.Status {
		case 408, 421, 429, 503:
			if worker, ran := ranAt[a.ID]; ran {
				broken++
				s.Note("request %s got %d as its answer, and worker %s has run it", a.ID, a.Status, worker)
			}
		}
	}
	s.Note("answers by status: %v; households entered twice, since their clients kept to the promise: %d", statuses, twice)
	if broken > 0 {
		s.Note("REFUSED is broken")
		fmt.Printf("REFUSED is broken: %d requests that cannot be repeated got a promise and have run; answers by status: %v; %d households were entered twice\n", broken, statuses, twice)
		return stage.Broken
	}
	s.Note("REFUSED holds")
	fmt.Printf("REFUSED holds; answers by status: %v\n", statuses)
	return stage.Held
}
