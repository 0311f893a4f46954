package main

import (
	"context"
	"syscall"
	"time"

	"github.com/yarrowmast/yarrowmast/review/platform/stage"
)

// claims has the figures of the site tcd-windhoek-grown.
func claims() *deployment {
	return &deployment{
		bounds: stage.Bounds{
			ConfigApplyMs: 3000, PassMs: 200, BudgetExtra: 222, BudgetWindowS: 10, BudgetRatio: 0.2, GraceS: 8,
			Processors: 0.8, MemoryMB: 536, Descriptors: 8192, Region: "nam-central", Zones: []string{"whk-a", "whk-b", "okh-a"},
		},
		perRouter: 60,
		reader: &modelService{
			name: "llm-pool", slots: 48, cacheTokens: 565422, route: "claim-assist", targetMs: 400, gapMs: 400, timeoutMs: 10000, maxConns: 800,
			sharedTokens: 350, ownTokens: 1110, coldTime: 3 * time.Second, coldPerSecond: 7.7,
		},
	}
}

const (
	// seedLag is for how long the seeds of a new machine are stale (seedLagS).
	seedLag = 3 * time.Second
	// settleTime is how long after the change of the settings the new machines may take to join.
	settleTime = 12 * time.Second
)

// playSeeds adds two machines whose seeds are stale when they start, and names the right ones in their
// settings afterwards. Then a worker turns cold.
func playSeeds(s *stage.Stage) (int, error) {
	f, err := claims().start(s)
	if err != nil {
		return 0, err
	}
	seeds := f.seeds()
	added, err := f.addMachines(s, seeds)
	if err != nil {
		return 0, err
	}
	time.Sleep(seedLag)
	for _, r := range added {
		if err := r.WriteSettings(s.Store.Address(), seeds, &f.bounds); err != nil {
			return 0, err
		}
		r.Signal(syscall.SIGHUP)
		s.Note("the settings of %s name %v as seeds; it gets SIGHUP", r.Name, seeds)
	}
	clients := stage.NewClients("9c41d07b")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, r := range append(f.routers, added...) {
		go clients.Flood(ctx, r.Callers, f.perRouter, f.reader.question)
	}
	time.Sleep(settleTime)
	from := f.turnCold(s)
	time.Sleep(time.Second)
	stop()
	clients.Wait()
	return f.judgeCold(s, clients, from), nil
}

// addMachines starts a second machine in two zones. With trouble, their seeds are machines that are gone.
func (f *fleet) addMachines(s *stage.Stage, seeds []string) (added []*stage.Router, err error) {
	if s.Trouble {
		if seeds, err = goneMachines(len(seeds)); err != nil {
			return nil, err
		}
	}
	for _, zone := range f.bounds.Zones[1:] {
		r, err := s.AddRouter("front-"+zone+"-2", zone)
		if err != nil {
			return nil, err
		}
		if err := f.startRouter(s, r, seeds); err != nil {
			return nil, err
		}
		if err := r.AwaitReady(startLimit); err != nil {
			return nil, err
		}
		s.Note("%s is added and ready; its seeds are %v", r.Name, seeds)
		added = append(added, r)
	}
	return added, nil
}

// goneMachines returns loopback addresses on which nobody listens.
func goneMachines(n int) ([]string, error) {
	var list []string
	for range n {
		address, err := stage.FreeAddress()
		if err != nil {
			return nil, err
		}
		list = append(list, address)
	}
	return list, nil
}
