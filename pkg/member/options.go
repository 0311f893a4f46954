package member

import "time"

type options struct {
	probeEvery  time.Duration
	ackWithin   time.Duration
	suspectFor  time.Duration
	forgetAfter time.Duration
}

func defaults() options {
	return options{
		probeEvery:  DefaultProbeEvery,
		ackWithin:   DefaultAckWithin,
		suspectFor:  DefaultSuspectFor,
		forgetAfter: DefaultForgetAfter,
	}
}

// Option changes new Members.
type Option func(*options)

// WithProbeEvery sets the interval between probes.
func WithProbeEvery(d time.Duration) Option {
	return func(o *options) { o.probeEvery = d }
}

// WithSuspectFor sets how long a suspect may take to refute.
func WithSuspectFor(d time.Duration) Option {
	return func(o *options) { o.suspectFor = d }
}
