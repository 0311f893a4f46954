package catalog

// Revision orders what the platform publishes.
type Revision struct {
	// Epoch is incremented whenever the platform restarts from a backup that lacks its latest
	// changes. It is 0 if the platform reports none.
	Epoch uint64
	// Number grows within an epoch. A new epoch may assign the same numbers again.
	Number uint64
}

// Before reports whether r is older than other. A later epoch always counts as newer.
func (r Revision) Before(other Revision) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch < other.Epoch
	}
	return r.Number < other.Number
}

// IsZero reports whether r is the zero Revision.
func (r Revision) IsZero() bool { return r == Revision{} }
