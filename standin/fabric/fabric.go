// Package fabric simulates the network between availability zones: it delays and blocks connections
// on loopback, by zone and by process.
package fabric

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Network simulates latency, partitions and paused processes. Use New.
type Network struct {
	delay time.Duration

	mu          sync.Mutex
	zones       map[string]string
	processes   map[string]string
	partitioned map[string]bool
	paused      map[string]bool
	changed     chan struct{}
}

// New returns a network with the given one-way delay between zones.
func New(delay time.Duration) *Network {
	return &Network{
		delay: delay, zones: map[string]string{}, processes: map[string]string{},
		partitioned: map[string]bool{}, paused: map[string]bool{}, changed: make(chan struct{}),
	}
}

// Register records the zone and the process of an address.
func (f *Network) Register(address, zone, process string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones[address] = zone
	f.processes[address] = process
}

// SetPartitioned partitions a zone from the others, or heals the partition. Data in flight arrives
// after that.
func (f *Network) SetPartitioned(zone string, partitioned bool) {
	f.set(f.partitioned, zone, partitioned)
}

// SetPaused blocks all traffic of a process, or unblocks it.
func (f *Network) SetPaused(process string, paused bool) { f.set(f.paused, process, paused) }

func (f *Network) set(m map[string]bool, key string, v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[key] = v
	close(f.changed)
	f.changed = make(chan struct{})
}

// Dialer dials from a process in a zone.
type Dialer struct {
	fabric  *Network
	zone    string
	process string
}

// Dialer returns the dialer of a process.
func (f *Network) Dialer(zone, process string) *Dialer {
	return &Dialer{fabric: f, zone: zone, process: process}
}

// dialTimeout is when a dial over a blocked link fails.
const dialTimeout = time.Second

// link describes the two ends of a connection.
type link struct {
	fabric               *Network
	zone, peerZone       string
	process, peerProcess string
}

func (l *link) blocked() (bool, chan struct{}) {
	f := l.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	partitioned := l.zone != l.peerZone && (f.partitioned[l.zone] || f.partitioned[l.peerZone])
	return partitioned || f.paused[l.process] || f.paused[l.peerProcess], f.changed
}

// awaitOpen waits until the link is not blocked. It returns false if done is closed first.
func (l *link) awaitOpen(done <-chan struct{}) bool {
	for {
		blocked, changed := l.blocked()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// DialContext opens a connection as net.Dialer does.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	f := d.fabric
	f.mu.Lock()
	l := &link{fabric: f, zone: d.zone, process: d.process, peerZone: f.zones[address], peerProcess: f.processes[address]}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if !l.awaitOpen(ctx.Done()) {
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
