//go:build !soak

package clock

import "time"

// soakSetback returns how far the soak test sets back the monotonic clock. It is 0 in all other
// builds.
func soakSetback() time.Duration { return 0 }
