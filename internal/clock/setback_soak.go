//go:build soak

package clock

import (
	"encoding/binary"
	"os"
	"sync"
	"time"
)

// suspendedVar names the file that says by how much the steady clock of this process is set
// back, as eight bytes of nanoseconds. The soak stops a process by a signal, which the steady
// clock counts, and then has it stand still for as long by this file, as where the machine
// was suspended. No other build can be told a time.
const suspendedVar = "YARROWMAST_SOAK_SUSPENDED"

var suspendedFile = sync.OnceValue(func() *os.File {
	f, err := os.Open(os.Getenv(suspendedVar))
	if err != nil {
		return nil
	}
	return f
})

// setBack is by how much the steady clock is set back.
func setBack() time.Duration {
	f := suspendedFile()
	if f == nil {
		return 0
	}
	var b [8]byte
	if _, err := f.ReadAt(b[:], 0); err != nil {
		return 0
	}
	return time.Duration(binary.LittleEndian.Uint64(b[:]))
}
