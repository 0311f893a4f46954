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
	// only be refused again, in the time that the router has for work: with 60 to
	// 120 ms, 3,652 requests of a flooding account were answered in 24 s, 6,105 with
	// these (61 routers, one play each). Up to a third, so that the request may still
	// be answered then.
	returnFrom = 1.0 / 6
	returnUpTo = 1.0 / 3
	// latestReturn bounds that for requests with much time: floods last some seconds.
	latestReturn = 5 * time.Second
)

// RetryDelay returns when the caller of a request that has so much time left may
// come back, where more is asked than can be served: late, and spread by chance.
func RetryDelay(left time.Duration) time.Duration {
	from := min(time.Duration(returnFrom*float64(left)), latestReturn/2)
	upTo := min(time.Duration(returnUpTo*float64(left)), latestReturn)
	return max(time.Millisecond, from+rand.N(max(1, upTo-from)))
}

// statedTime returns how much time the header of a request states, or that it cannot
// be read.
func (s *Server) statedTime(r *http.Request) (time.Duration, bool) {
	v := r.Header.Get(s.opt.dialect.Deadline)
	if v == "" {
		return s.callers.Load().Deadline, true
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return boundedWait(ms), true
}

// boundedWait returns for how long a caller waits that says so in milliseconds.
func boundedWait(ms int64) time.Duration {
	return time.Duration(min(ms, MaxDeadline.Milliseconds())) * time.Millisecond
}
