//go:build !soak

package clock

import "time"

// setBack is by how much the steady clock is set back, as that of a machine that was
// suspended is: not at all, but in the soak's build.
func setBack() time.Duration { return 0 }
