package front

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// The delay before a retry is between these fractions of the time left to a request.
	// Earlier retries would only be refused again and cost processor time while the overload
	// lasts; later ones would leave too little time to answer the request. With 60 to 120 ms, 3,652
	// requests of a flooding account were answered in 24 s, with these fractions 6,105.
	minRetryFraction = 1.0 / 6
	maxRetryFraction = 1.0 / 3
	// maxRetryDelay bounds the delay for requests with distant deadlines.
	maxRetryDelay = 5 * time.Second
)

// RetryDelay returns a random delay after which a refused request may be retried, given the
// time remaining until its deadline.
func RetryDelay(remaining time.Duration) time.Duration {
	low := min(time.Duration(minRetryFraction*float64(remaining)), maxRetryDelay/2)
	high := min(time.Duration(maxRetryFraction*float64(remaining)), maxRetryDelay)
	return max(time.Millisecond, low+rand.N(max(1, high-low)))
}

// requestTimeout returns the timeout that the request states, or the default. It returns false
// if the header is invalid.
func (s *Server) requestTimeout(r *http.Request) (time.Duration, bool) {
	value := r.Header.Get(s.opt.headers.Deadline)
	if value == "" {
		return s.limits.Load().Deadline, true
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return clampTimeout(ms), true
}

// clampTimeout converts a timeout in milliseconds, at most MaxDeadline.
func clampTimeout(ms int64) time.Duration {
	return time.Duration(min(ms, MaxDeadline.Milliseconds())) * time.Millisecond
}
