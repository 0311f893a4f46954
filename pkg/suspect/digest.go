package suspect

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies a request by its content, or a part of its prompt. All attempts of a request
// share it.
type Digest uint64

// String returns the digest as it stands in log lines.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// idBits is the size of the half of a part's digest that identifies the part; the other half identifies the
// account.
const idBits = 32

// PartDigest returns the digest of a prompt part as one account states it. What one account states
// is not held against the requests of another one.
func PartDigest(account, id string) Digest {
	return Digest(xxhash.Sum64String(account)<<idBits | uint64(uint32(xxhash.Sum64String(id))))
}

// samePart reports whether two digests of parts are of the same part, as stated by any account.
func samePart(a, b Digest) bool { return uint32(a) == uint32(b) }
