// Package fabric stands in for the network between availability zones: it
// delays and cuts connections, and freezes the ends of a paused process.
package fabric

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Network knows where every address stands.
type Network struct {
	delay time.Duration

	mu     sync.Mutex
	zones  map[string]string
	owners map[string]string
	cut    map[string]bool
	frozen map[string]bool
	change chan struct{}
}

// New returns a network whose zones are delay apart, one way.
func New(delay time.Duration) *Network {
	return &Network{
		delay: delay, zones: map[string]string{}, owners: map[string]string{},
		cut: map[string]bool{}, frozen: map[string]bool{}, change: make(chan struct{}),
	}
}

// Register says in which zone an address stands and whose it is.
func (f *Network) Register(address, zone, owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones[address] = zone
	f.owners[address] = owner
}

// SetPartitioned cuts a zone off from the others, or joins it again. What was under way
// arrives late.
func (f *Network) SetPartitioned(zone string, cut bool) { f.set(f.cut, zone, cut) }

// SetPaused stops all traffic of a process, or lets it go on.
func (f *Network) SetPaused(owner string, frozen bool) { f.set(f.frozen, owner, frozen) }

func (f *Network) set(m map[string]bool, key string, v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[key] = v
	close(f.change)
	f.change = make(chan struct{})
}

// Dialer opens connections from a process in a zone.
type Dialer struct {
	fabric *Network
	zone   string
	owner  string
}

// Dialer returns the dialer of a process.
func (f *Network) Dialer(zone, owner string) *Dialer {
	return &Dialer{fabric: f, zone: zone, owner: owner}
}

// dialTimeout is how long a dial into a cut zone takes to fail.
const dialTimeout = time.Second

// link is one connection's place in the fabric.
type link struct {
	fabric           *Network
	zone, peerZone   string
	owner, peerOwner string
}

func (l *link) blocked() (bool, chan struct{}) {
	f := l.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := l.zone != l.peerZone && (f.cut[l.zone] || f.cut[l.peerZone])
	return cut || f.frozen[l.owner] || f.frozen[l.peerOwner], f.change
}

// pass waits until the link is open; it reports false if done comes first.
func (l *link) pass(done <-chan struct{}) bool {
	for {
		blocked, change := l.blocked()
		if !blocked {
			return true
		}
		select {
		case <-change:
		case <-done:
			return false
		}
	}
}

// DialContext opens a connection as net.Dialer does.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	f := d.fabric
	f.mu.Lock()
	l := &link{fabric: f, zone: d.zone, owner: d.owner, peerZone: f.zones[address], peerOwner: f.owners[address]}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !l.pass(ctx.Done()) {
		return nil, fmt.Errorf("fabric: dial %s: %w", address, os.ErrDeadlineExceeded)
	}
	delay := time.Duration(0)
	if l.zone != l.peerZone && l.peerZone != "" {
		delay = f.delay
		time.Sleep(2 * delay)
	}
	var nd net.Dialer
	c, err := nd.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c, l, delay), nil
}
