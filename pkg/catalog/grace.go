package catalog

import "time"

// DefaultUnlistedGrace is the default for WithUnlistedGrace.
const DefaultUnlistedGrace = 1500 * time.Millisecond

// WithRemovalGrace sets how long backend servers stay in the view when the entries of several
// vanish together. The default is 0: not at all.
func WithRemovalGrace(d time.Duration) Option { return func(c *Catalog) { c.removalGrace = d } }

// WithUnlistedGrace sets how long a backend server is retained that a new epoch does not list.
// It may have registered after the backup was made, and registers again within that time.
func WithUnlistedGrace(d time.Duration) Option { return func(c *Catalog) { c.unlistedGrace = d } }

// SetGracePeriods replaces the grace periods. The one for removals applies from the next Merge
// or Refresh on, also to entries that vanished before. The one for unlisted entries applies to
// epochs that begin later.
func (c *Catalog) SetGracePeriods(removal, unlisted time.Duration) {
	c.removalGrace, c.unlistedGrace = removal, unlisted
}
