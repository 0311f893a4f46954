package front

import "github.com/cespare/xxhash/v2"

// digest identifies what a caller asks for, whichever try it is: its account, the
// method, host and path, and the body. Ids, deadlines and the last event received differ from
// try to try, and so does the service where a route has several. Requests that agree in all of these are the same to a backend server.
//
// It is called once the body has been read.
func (a *ask) digest() uint64 {
	if a.hash == 0 {
		a.hash = a.workOutDigest()
	}
	return a.hash
}

func (a *ask) workOutDigest() uint64 {
	h := xxhash.New()
	for _, part := range []string{a.account.Name, a.method, a.host, a.path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write(separator)
	}
	_, _ = h.Write(a.body)
	// 0 stands for none.
	return max(1, h.Sum64())
}

// separator keeps parts apart that stand side by side.
var separator = []byte{0}
