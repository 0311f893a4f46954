package backend

import "net/http"

// checkOrigin returns why a response is not to be taken for one that the backend server itself
// created, nil if it is. Without a proof in use all with a final status are taken for that.
func (c *HeaderConfig) checkOrigin(resp *http.Response) error {
	if !isFinal(resp.StatusCode) {
		return errNotFinal
	}
	if c.Proof == "" || !needsProof(resp.StatusCode) {
		return nil
	}
	if resp.Header.Get(c.Proof) == "" || isSuccess(resp) && resp.Header.Get("Content-Encoding") != "" {
		return errNoProof
	}
	return nil
}

// isFinal reports whether a status ends a request. No request asks for another protocol.
func isFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxStatus is the largest status that HTTP knows.
const maxStatus = 599

// needsProof reports whether callers draw conclusions from a status that only the backend server can vouch for: that
// the request ran, that it did not and never will, or that it is of no use to send it again. Other server errors say nothing.
func needsProof(status int) bool {
	return status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}
