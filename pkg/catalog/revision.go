package catalog

// Revision is a place in the order of what the platform published.
type Revision struct {
	// Epoch counts how often the platform came back from a copy that lacked what it had
	// published last; 0 if it does not say. It only grows.
	Epoch uint64
	// Number only grows within an epoch. In the next one numbers are given out again.
	Number uint64
}

// Before reports whether a revision comes before another one, as far as that can be known
// of numbers of different epochs: a later epoch goes on from a copy of an earlier one.
func (r Revision) Before(other Revision) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch < other.Epoch
	}
	return r.Number < other.Number
}

// IsZero reports whether nothing is known.
func (r Revision) IsZero() bool { return r == Revision{} }
