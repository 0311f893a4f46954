package main

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

// cuts are the connections between routers, and of routers to the store, that are cut.
type cuts struct {
	mu sync.Mutex
	// by counts, for each router and each address that it dials, the faults that cut its connections there.
	by map[*router]map[string]int
}

// cutFile is the file from which the process reads which connections are cut.
func (r *router) cutFile() string { return filepath.Join(r.dir, r.name+".cut") }

// linkAddresses returns the addresses to which connections of routers may be cut.
func (f *fleet) linkAddresses() string {
	var list []string
	for _, r := range f.routers {
		list = append(list, r.peersAddr, r.endpoint.Address())
	}
	return strings.Join(list, " ")
}

// cutOff cuts routers off from the store and from all routers but themselves, and returns a function that ends it.
func (f *fleet) cutOff(targets []*router) (heal func()) {
	f.changeCuts(targets, 1)
	return func() { f.changeCuts(targets, -1) }
}

func (f *fleet) changeCuts(targets []*router, by int) {
	f.cuts.mu.Lock()
	defer f.cuts.mu.Unlock()
	for _, t := range targets {
		f.cuts.add(t, t.endpoint.Address(), by)
		for _, r := range f.routers {
			if !slices.Contains(targets, r) {
				f.cuts.add(t, r.peersAddr, by)
				f.cuts.add(r, t.peersAddr, by)
			}
		}
	}
	for r, addresses := range f.cuts.by {
		list := slices.DeleteFunc(slices.Sorted(maps.Keys(addresses)), func(a string) bool { return addresses[a] == 0 })
		_ = replaceFile(r.cutFile(), strings.Join(list, " "))
	}
}

// add changes the number of faults that cut a router's connections to an address. The caller holds c.mu.
func (c *cuts) add(r *router, address string, by int) {
	if c.by == nil {
		c.by = map[*router]map[string]int{}
	}
	if c.by[r] == nil {
		c.by[r] = map[string]int{}
	}
	c.by[r][address] += by
}
