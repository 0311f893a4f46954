package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// MaxSoftwareVersion is the maximum length of a software version that rows hold, in bytes.
const MaxSoftwareVersion = 64

// Software is the software that a backend server runs. It can only be compared for equality.
type Software struct {
	// Version is as in the backend server's row, "" if that states none.
	Version string
	// Unknown says that the version is not known. It may equal any other one, or none.
	Unknown bool
}

// Software returns the software that the row states.
func (b *Backend) Software() Software { return Software{Version: b.Version, Unknown: b.VersionUnknown} }

// String returns the version for logs, "?" if it is unknown.
func (s Software) String() string {
	if s.Unknown {
		return "?"
	}
	return s.Version
}

// CanonicalVersion returns a version of the software as rows hold it: a longer one is replaced by its
// hash, so that it takes a bounded space and still differs from every other one.
func CanonicalVersion(version string) string {
	if len(version) <= MaxSoftwareVersion {
		return version
	}
	sum := sha256.Sum256([]byte(version))
	return hex.EncodeToString(sum[:])
}

// LacksVersions reports whether the version of any of the table's own backend servers is unknown.
func (t *Table) LacksVersions() bool {
	return slices.ContainsFunc(t.Backends, func(b Backend) bool { return b.VersionUnknown })
}

// MixesVersions reports whether two of the table's own backend servers list the same model and run
// different versions.
func (t *Table) MixesVersions() bool {
	versions := map[string]string{}
	for _, b := range t.Backends {
		for _, model := range b.Models {
			version, known := versions[model]
			if known && version != b.Version {
				return true
			}
			versions[model] = b.Version
		}
	}
	return false
}

func (c *checker) softwareVersion(i int, b *Backend) {
	if len(b.Version) > MaxSoftwareVersion {
		c.doc.Add(fmt.Sprintf("has %d bytes; write at most %d", len(b.Version), MaxSoftwareVersion), "backends", i, "version")
	}
}
