//go:build soak

package clock

import (
	"encoding/binary"
	"os"
	"sync"
	"time"
)

// setbackVar is the environment variable with the name of a file that holds the setback as eight
// bytes, in nanoseconds, little endian. The soak test stops a process with a signal and adds the
// stopped time to the file. The process then sees its monotonic clock as after a suspension of
// the machine.
const setbackVar = "YARROWMAST_SOAK_SUSPENDED"

var setbackFile = sync.OnceValue(func() *os.File {
	f, err := os.Open(os.Getenv(setbackVar))
	if err != nil {
		return nil
	}
	return f
})

// soakSetback returns how far the monotonic clock is set back, 0 if the file cannot be read.
func soakSetback() time.Duration {
	f := setbackFile()
	if f == nil {
		return 0
	}
	var b [8]byte
	if _, err := f.ReadAt(b[:], 0); err != nil {
		return 0
	}
	return time.Duration(binary.LittleEndian.Uint64(b[:]))
}
