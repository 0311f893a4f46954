package admit

type options struct {
	self Router
	seed uint64
	// uniqueIncarnations says that each incarnation of a backend server has its own name.
	uniqueIncarnations bool
	// weighted says that accounts are scheduled by weight.
	weighted bool
	// regions holds the region of each availability zone.
	regions map[string]string
}

// Option configures a new Core.
type Option func(*options)

// WithSeed seeds the random choice among equal candidates.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithUniqueIncarnations says that each incarnation of a backend server has its own name,
// unless the directory gives it a number, and rejects requests meant for another one. A
// response then always comes from the incarnation to which the request was sent.
func WithUniqueIncarnations() Option { return func(o *options) { o.uniqueIncarnations = true } }

// WithRegions sets the region of each availability zone. Requests that are restricted to some
// regions are not sent to backend servers in zones without one.
func WithRegions(byZone map[string]string) Option {
	return func(o *options) { o.regions = byZone }
}
