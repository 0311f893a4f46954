package front

import "github.com/cespare/xxhash/v2"

// digest returns a hash of the account, method, host, path and body. It is the same for all
// attempts and retries of a request: IDs, deadlines, the last event and the chosen service may
// differ between them and are left out. The body must have been read before.
func (in *inboundRequest) digest() uint64 {
	if in.cachedDigest == 0 {
		in.cachedDigest = in.computeDigest()
	}
	return in.cachedDigest
}

func (in *inboundRequest) computeDigest() uint64 {
	h := xxhash.New()
	for _, part := range []string{in.account.Name, in.method, in.host, in.path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write(separator)
	}
	_, _ = h.Write(in.body)
	// 0 means that there is no digest.
	return max(1, h.Sum64())
}

// separator keeps adjacent parts distinct in the hash.
var separator = []byte{0}
