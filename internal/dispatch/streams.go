package dispatch

import (
	"slices"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/peer"
)

// streamGrace is how long forwarded connections of a router go on after it fell silent. A router that
// lacks processor time, or that its machine paused, is silent for a while, and its connections carry
// on afterwards. If its process or its machine is gone, the connection tells so.
const streamGrace = 2 * time.Second

// updateForwarder passes the live routers, and those of the own region as forwarding peers, to
// the forwarder.
func (s *state) updateForwarder() {
	f := s.d.opt.forwarder
	if f == nil {
		return
	}
	var list []forward.Peer
	for _, r := range s.routers {
		if _, stays := slices.BinarySearch(s.staying, r.Address); !stays {
			continue
		}
		if isRemote := r.Zone != s.d.id.Zone; !isRemote || s.isSameRegion(r.Zone) {
			list = append(list, forward.Peer{Address: r.Address, Capacity: r.Weight(), Remote: isRemote})
		}
	}
	s.forwardPeers = len(list)
	f.SetPeers(list)
	s.endSilentStreams()
}

// isSameRegion reports whether a zone is in this router's region. The bytes of a connection may be
// restricted to it.
func (s *state) isSameRegion(zone string) bool {
	regions := s.d.opt.regions
	return regions[zone] == regions[s.d.id.Zone]
}

// endSilentStreams ends the forwarded connections of the routers that have been silent for longer than
// streamGrace.
func (s *state) endSilentStreams() {
	keep := map[string]bool{}
	for _, address := range s.roster.Live(s.now) {
		keep[address] = true
	}
	for address := range s.forwardLive {
		if _, known := s.silentSince[address]; !known && !keep[address] {
			s.silentSince[address] = s.now
		}
	}
	s.forwardLive = map[string]bool{}
	for address := range keep {
		s.forwardLive[address] = true
		delete(s.silentSince, address)
	}
	for address, since := range s.silentSince {
		if s.now-since < streamGrace {
			keep[address] = true
			continue
		}
		delete(s.silentSince, address)
	}
	s.d.opt.forwarder.EndStreamsExcept(keep)
}

// checkSilentStreams calls endSilentStreams once the grace of a silent router is over.
func (s *state) checkSilentStreams() {
	for _, since := range s.silentSince {
		if s.now-since >= streamGrace {
			s.endSilentStreams()
			return
		}
	}
}

// endStreamsOfRestarted ends the forwarded connections of an earlier process of a router.
func (s *state) endStreamsOfRestarted(from *peer.Inbound) {
	known := s.link(from.From).incarnation
	if f := s.d.opt.forwarder; f != nil && known != 0 && known < from.Incarnation {
		f.EndStreamsBefore(from.From, from.Incarnation)
	}
}
