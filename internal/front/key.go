package front

import "github.com/cespare/xxhash/v2"

// requestKey returns a hash of the account, the path without the query and the stated prompt parts,
// which are known before the body is read. It is the same for all attempts of a caller, whatever their
// IDs, deadlines and routers. It is 0 without parts: the digest identifies such requests.
func requestKey(account, path, parts string) uint64 {
	if parts == "" {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	for _, part := range [...]string{account, path, parts} {
		_, _ = h.WriteString(part)
		_, _ = h.Write(separator)
	}
	// 0 means that there is no key.
	return max(1, h.Sum64())
}

// key returns the request's key, or its digest if the prompt's parts are not stated. The body must
// have been read before.
func (in *inboundRequest) key() uint64 {
	if in.route != nil && in.route.key != 0 {
		return in.route.key
	}
	return in.digest()
}
