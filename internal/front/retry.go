package front

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// returnFrom and returnUpTo are the parts of the time left to a request between
	// which its caller is told to come back when more is asked than can be served. A
	// balancer sends it to the same router again, and while the flood lasts it would
	// only be refused again: with 60 to 120 ms a small router spent its time on such
	// refusals and worked on 38 requests a second, later on 168. Up to a third, so
	// that the request may still be answered then.
	returnFrom  = 1.0 / 6
	returnUpTo  = 1.0 / 3
	latestOther = 5 * time.Second
)

// RetryLater returns when the caller of a request that has so much time left may
// come back, where more is asked than can be served: late, and spread by chance.
func RetryLater(left time.Duration) time.Duration {
	from := min(time.Duration(returnFrom*float64(left)), latestOther/2)
	upTo := min(time.Duration(returnUpTo*float64(left)), latestOther)
	return max(time.Millisecond, from+rand.N(max(1, upTo-from)))
}

// timeLeft returns how much time the header of a request states.
func (s *Server) timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(s.opt.dialect.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return s.callers.Load().Deadline
	}
	return time.Duration(min(ms, MaxDeadline.Milliseconds())) * time.Millisecond
}
