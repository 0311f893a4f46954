package dispatch

import (
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/admit"
)

// plainLogInterval is the least interval between two lines about a plain server.
const plainLogInterval = time.Second

// loggedPlain is what was last logged about a plain server.
type loggedPlain struct {
	at time.Duration
	admit.PlainServer
}

// logPlainServers logs the plain servers owned here whose limit changed or that denied requests since
// their last line.
func (s *state) logPlainServers(all []admit.PlainServer) {
	logged := make(map[string]loggedPlain, len(all))
	for _, p := range all {
		last, known := s.plainLogged[p.Name]
		isNew := !known || p.Limit != last.Limit || p.Denied != last.Denied
		if !isNew || known && s.now-last.at < plainLogInterval {
			if known {
				logged[p.Name] = last
			}
			continue
		}
		logged[p.Name] = loggedPlain{s.now, p}
		s.d.opt.log.Info("plain_limit", "backend", p.Name, "slots", p.Slots, "limit", p.Limit, "running", p.Running, "waiting", p.Waiting,
			"service_ms", p.Service.Milliseconds(), "wait_ms", p.Wait.Milliseconds(), "denied", p.Denied)
	}
	s.plainLogged = logged
}

// logPlainRefusal logs the estimate behind the refusal of a request for a plain service.
func (s *state) logPlainRefusal(a admit.Refuse) {
	if a.Asked == 0 {
		return
	}
	id := ""
	if w, ok := s.waiting[a.ID]; ok {
		id = w.request.ID
	}
	s.d.opt.log.Info("plain_refused", "request", id, "asked", a.Asked, "expected_ms", a.Expected.Milliseconds(), "left_ms", a.Left.Milliseconds(),
		"waited_ms", a.Waited.Milliseconds())
}

// setPlainStatus adds what is known about the plain servers owned here.
func (s *state) setPlainStatus(st *Status) {
	st.PlainServers, st.PlainDenied = s.core.PlainServers(s.now), s.core.PlainDenied()
	s.logPlainServers(st.PlainServers)
}
