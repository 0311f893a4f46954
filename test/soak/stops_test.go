package main

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDrawStops checks that a seed always yields the same stops, that each router is stopped once, and that some
// stops overlap, two at a time at most.
func TestDrawStops(t *testing.T) {
	const seeds = 100
	overlapping := 0
	for seed := range uint64(seeds) {
		stops := drawStops(seed, defaultRouters)
		if diff := cmp.Diff(stops, drawStops(seed, defaultRouters)); diff != "" {
			t.Errorf("two draws of seed %d differ:\n%s", seed, diff)
		}
		stopped := map[int]bool{}
		for i, s := range stops {
			stopped[s.Router] = true
			if s.Overlaps {
				overlapping++
			}
			if s.Overlaps && (i == 0 || stops[i-1].Overlaps) || s.After < 0 || s.After >= maxStopGap || s.Down < 0 || s.Down >= maxStopDown {
				t.Errorf("seed %d: stop %d %+v is out of bounds", seed, i, s)
			}
		}
		if len(stopped) != defaultRouters || len(stops) != defaultRouters {
			t.Errorf("seed %d stops %v", seed, stopped)
		}
	}
	if overlapping < seeds/4 {
		t.Errorf("%d of %d stops overlap", overlapping, seeds*defaultRouters)
	}
}

// TestEvaluateStops checks which requests count as cut by a planned stop.
func TestEvaluateStops(t *testing.T) {
	const (
		small  = 3
		sentAt = time.Second
		// limit is when the time of a stop that was signaled as the request was sent has passed.
		limit = sentAt + stopTime
	)
	onTime := []stopTimes{{Router: 0, SignaledAt: sentAt, ExitedAt: limit - time.Second}}
	late := []stopTimes{{Router: 0, SignaledAt: sentAt, ExitedAt: limit + time.Millisecond}}
	tests := map[string]struct {
		request stopRequest
		after   time.Duration
		stops   []stopTimes
		want    stopOutcomes
	}{
		"answered":                        {stopRequest{response: response{Status: 200, Complete: true}}, time.Second, onTime, stopOutcomes{Answered: 1}},
		"refused":                         {stopRequest{response: response{Status: 503, Complete: true}}, 0, onTime, stopOutcomes{Refused: 1}},
		"refused for its share":           {stopRequest{response: response{Status: 429, Complete: true}}, 0, onTime, stopOutcomes{Refused: 1}},
		"the refusal is cut":              {stopRequest{response: response{Status: 503}}, 0, onTime, stopOutcomes{Cut: 1}},
		"the answer is cut":               {stopRequest{response: response{Status: 200}, Read: true}, time.Second, onTime, stopOutcomes{Cut: 1}},
		"the answer is cut by a reset":    {stopRequest{response: response{Status: 200}}, 0, onTime, stopOutcomes{Cut: 1}},
		"may have run":                    {stopRequest{response: response{Status: 502, Complete: true}}, 0, onTime, stopOutcomes{Cut: 1}},
		"closed while idle":               {stopRequest{}, transitTime, onTime, stopOutcomes{InTransit: 1}},
		"closed long after":               {stopRequest{}, transitTime + 1, onTime, stopOutcomes{Cut: 1}},
		"closed at once, but read":        {stopRequest{Read: true}, 0, onTime, stopOutcomes{Cut: 1}},
		"closed without a stop":           {stopRequest{Read: true}, 0, nil, stopOutcomes{Cut: 1}},
		"open until the limit":            {stopRequest{Read: true}, stopTime, late, stopOutcomes{Overran: 1}},
		"its answer open until the limit": {stopRequest{response: response{Status: 200}}, stopTime, late, stopOutcomes{Overran: 1}},
		"closed before the limit":         {stopRequest{Read: true}, stopTime - 1, late, stopOutcomes{Cut: 1}},
		"the router ended in time":        {stopRequest{Read: true}, stopTime, onTime, stopOutcomes{Cut: 1}},
		"another router overran":          {stopRequest{Read: true, Router: 1}, stopTime, late, stopOutcomes{Cut: 1}},
		"forwarded to one that overran":   {stopRequest{Read: true, Router: small}, stopTime, late, stopOutcomes{Overran: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tc.request.ID, tc.request.SentAt, tc.request.EndedAt = "x", sentAt, sentAt+tc.after
			c := &checker{}
			c.addStopRequest(tc.request)
			for _, s := range tc.stops {
				c.addStop(s)
			}
			if diff := cmp.Diff(tc.want, c.checkStops(small)); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
			if len(c.violations) != tc.want.Cut || tc.want.Cut > 0 && c.violations[0].Rule != RuleCutByStop {
				t.Errorf("violations %v, want %d", c.violations, tc.want.Cut)
			}
		})
	}
}

// TestHadBegunToRead checks which ends of a connection show that the other end had read of the last bytes.
func TestHadBegunToRead(t *testing.T) {
	const sent = 1000
	tests := map[string]struct {
		// answered is how much is sent and read before, read how much of the last bytes is read.
		answered, read int
		closedBefore   bool
		want           bool
	}{
		"all was read":                           {read: sent, want: true},
		"nothing was read":                       {},
		"part was read":                          {read: sent / 2},
		"closed before":                          {closedBefore: true},
		"all of the second request was read":     {answered: sent, read: sent, want: true},
		"nothing of the second request was read": {answered: sent},
		"closed before the second request":       {answered: sent, closedBefore: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := connectedPair(t)
			send := func(n int) {
				if _, err := near.Write(make([]byte, n)); err != nil {
					t.Fatal(err)
				}
			}
			receive := func(n int) {
				if _, err := io.ReadFull(far, make([]byte, n)); err != nil {
					t.Fatal(err)
				}
			}
			send(tc.answered)
			receive(tc.answered)
			if tc.closedBefore {
				_ = far.Close()
				time.Sleep(arrivalTime)
			}
			send(sent)
			time.Sleep(arrivalTime)
			receive(tc.read)
			_ = far.Close()
			_, err := near.Read(make([]byte, 1))
			if got := hadBegunToRead(near, sent, err); got != tc.want {
				t.Errorf("had begun to read: %v, want %v (%v)", got, tc.want, err)
			}
		})
	}
}

// arrivalTime is enough for bytes to arrive on loopback.
const arrivalTime = 20 * time.Millisecond

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}
