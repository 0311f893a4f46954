package dispatch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// recordingForwarder records when the streams of one router end.
type recordingForwarder struct {
	router string
	ended  []forward.Reason
}

func (f *recordingForwarder) SetPeers([]forward.Peer) {}

func (f *recordingForwarder) EndStreamsExcept(live map[string]bool) {
	if !live[f.router] {
		f.ended = append(f.ended, forward.PeerSilent)
	}
}

func (f *recordingForwarder) EndStreams(address string, why forward.Reason) {
	if address == f.router {
		f.ended = append(f.ended, why)
	}
}

func (f *recordingForwarder) EndStreamsBefore(address string, _ uint64) {
	f.EndStreams(address, forward.PeerRestarted)
}

// TestStreamsOfSilentRouter: a router that is silent for a while, since it lacks processor time or its
// machine was paused, must not lose the forwarded connections. One that stays silent, whose process is
// gone, or that runs a new one, must lose them.
func TestStreamsOfSilentRouter(t *testing.T) {
	const other = "10.0.0.2:7"
	tests := map[string]struct {
		// silence is how long the router is silent before it is heard again, 0 for ever.
		silence time.Duration
		// event happens when it falls silent; it may be nil.
		event event
		// incarnation is that of the process that is heard afterwards.
		incarnation uint64
		want        []forward.Reason
	}{
		"heard all the time":      {silence: 50 * time.Millisecond, incarnation: 1},
		"paused for 0.4 s":        {silence: 400 * time.Millisecond, incarnation: 1},
		"paused for 0.6 s":        {silence: 600 * time.Millisecond, incarnation: 1},
		"paused for 1.5 s":        {silence: 1500 * time.Millisecond, incarnation: 1},
		"silent for good":         {want: []forward.Reason{forward.PeerSilent}},
		"connection lost":         {silence: 100 * time.Millisecond, incarnation: 1, event: lossEvent{peer.Loss{Peer: other}}, want: []forward.Reason{forward.ConnectionLost}},
		"process gone":            {silence: 100 * time.Millisecond, incarnation: 1, event: lossEvent{peer.Loss{Peer: other, Refused: true}}, want: []forward.Reason{forward.ConnectionLost}},
		"heard as a new process":  {silence: 100 * time.Millisecond, incarnation: 2, want: []forward.Reason{forward.PeerRestarted}},
		"restarted after a pause": {silence: 900 * time.Millisecond, incarnation: 2, want: []forward.Reason{forward.PeerRestarted}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := &recordingForwarder{router: other}
			s := newState(New(Identity{Name: "a", Address: "10.0.0.1:7", Zone: "x", Incarnation: 1}, emptySource{}, &recordingTransport{}, WithForwarder(f)))
			s.now = clockStart
			hear := func(incarnation uint64) {
				messageEvent{peer.Inbound{From: other, Name: "b", Zone: "x", Incarnation: incarnation, Msg: &wire.RouterState{Stamp: 1}}}.apply(s)
			}
			run := func(until time.Duration, heard func() bool, incarnation uint64) {
				for ; s.now < until; s.now += tickInterval {
					if heard() {
						hear(incarnation)
					}
					tickEvent{}.apply(s)
				}
			}
			always := func() bool { return true }
			run(clockStart+time.Second, always, 1)
			f.ended = nil
			silentAt := s.now
			if tc.event != nil {
				tc.event.apply(s)
			}
			run(silentAt+5*time.Second, func() bool { return tc.silence > 0 && s.now-silentAt >= tc.silence }, tc.incarnation)
			var got []forward.Reason
			for _, why := range f.ended {
				if len(got) == 0 || got[len(got)-1] != why {
					got = append(got, why)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("streams ended (-want +got):\n%s", diff)
			}
		})
	}
}
