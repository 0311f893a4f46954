package returns

import "time"

const (
	// honoredFraction of its remaining time is the longest Retry-After that a caller honors.
	honoredFraction = 1.0 / 3
	// MinDelay is the least delay of a retry. An engine processes a medium-sized prompt in that
	// time.
	MinDelay = 60 * time.Millisecond
	// jitterFraction of the delay is the longest random addition to it, at least minJitter.
	jitterFraction = 0.25
	minJitter      = 40 * time.Millisecond
	// shareWindow is the period of an account's demand whose refused part is assumed to return, about
	// the time over which an account's demand is averaged.
	shareWindow = time.Second
	// minShare bounds the fraction used in ShareDelay.
	minShare = 0.01
)

// Case says what a caller can expect of a retry.
type Case uint8

// The cases of a refusal. The zero value is for refusals that do not depend on capacity.
const (
	Unstated Case = iota
	// InTarget means that the retry is served within the request's target.
	InTarget
	// Later means that it is served later than that, before its deadline.
	Later
	// None means that it is not served before its deadline.
	None
)

// String returns the value of the log key return.
func (c Case) String() string {
	switch c {
	case InTarget:
		return "in-target"
	case Later:
		return "later"
	case None:
		return "none"
	default:
		return ""
	}
}

// Refusal describes a refused request. Times are relative to now.
type Refusal struct {
	// Ready is the time until there is capacity for the request, negative if that is after its
	// deadline.
	Ready time.Duration
	// Service is the predicted time from the retry to the first event of the response.
	Service time.Duration
	// TargetLeft is the time left until the first event is due, Remaining that until the deadline.
	// Both count from the caller's first attempt.
	TargetLeft, Remaining time.Duration
}

// Decide returns what the caller can expect and when to retry. The random number, from 0 to 1, spreads
// the retries.
func Decide(r Refusal, random float64) (Case, time.Duration) {
	earliest := max(r.Ready, MinDelay)
	if r.Ready < 0 || earliest+r.Service >= r.Remaining {
		return None, max(r.Remaining, time.Millisecond).Truncate(time.Millisecond) + time.Millisecond
	}
	longest := time.Duration(honoredFraction * float64(r.Remaining))
	spread := max(minJitter, time.Duration(jitterFraction*float64(earliest)))
	if slack := r.TargetLeft - r.Service - earliest; slack >= 0 && earliest <= longest {
		return InTarget, earliest + time.Duration(random*float64(min(spread, slack, longest-earliest)))
	}
	if earliest+spread <= longest {
		return Later, earliest + time.Duration(random*float64(spread))
	}
	// The capacity comes later than the caller would wait, which then returns at its own time. The
	// longest delays that it honors are closest to it.
	return Later, longest/2 + time.Duration(random*float64(longest-longest/2))
}

// ShareDelay returns the time until an account has capacity for what it was refused, given the
// fraction of its requests that is admitted: the refused part of the last shareWindow, at the rate
// at which the account is served.
func ShareDelay(admitted float64) time.Duration {
	admitted = min(1, max(minShare, admitted))
	return time.Duration((1 - admitted) / admitted * float64(shareWindow))
}

const (
	// roomFraction of the requests of an account that wait should have started before a request that
	// found its queue full returns. With less room most of those that return would be refused again.
	roomFraction = 0.25
	// latestFraction of the remaining time bounds estimates that are not certain enough to tell a
	// caller that its request can't be served.
	latestFraction = 0.5
	// maxQueueDelay bounds the delay for requests with distant deadlines.
	maxQueueDelay = 5 * time.Second
)

// QueueFull decides a refusal because too many requests of the account wait at a router, of which a
// number starts per second.
func QueueFull(waiting int, startsPerSecond float64, remaining time.Duration, random float64) (Case, time.Duration) {
	ready := min(latestFraction*remaining.Seconds(), maxQueueDelay.Seconds())
	if startsPerSecond > 0 {
		ready = min(ready, roomFraction*float64(waiting)/startsPerSecond)
	}
	return Decide(Refusal{Ready: time.Duration(ready * float64(time.Second)), Remaining: remaining}, random)
}

// Elsewhere decides a refusal by a router that stops: other routers take the request now.
func Elsewhere(remaining time.Duration, random float64) (Case, time.Duration) {
	return Decide(Refusal{TargetLeft: remaining, Remaining: remaining}, random)
}
