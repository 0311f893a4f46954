package backend

import (
	"net/http"
	"slices"
)

// checkOrigin returns why a response is not to be taken for one that the backend server itself
// created, nil if it is. Without a proof in use all with a final status are taken for that. The fields that concern
// the connection alone have been removed.
func (c *HeaderConfig) checkOrigin(resp *http.Response) error {
	if !isFinal(resp.StatusCode) {
		return errNotFinal
	}
	if c.Proof == "" || !needsProof(resp.StatusCode) {
		return nil
	}
	if proof := resp.Header.Values(c.Proof); len(proof) != 1 || proof[0] == "" {
		return errNoProof
	}
	lacksID := c.RequestID != "" && resp.Header.Get(c.RequestID) == ""
	if isSuccess(resp) && (lacksID || resp.Header.Get("Content-Encoding") != "") {
		return errNoProof
	}
	return nil
}

// hasOtherID reports whether the head of a response bears the id of another request, beside that of its own or alone.
func (c *HeaderConfig) hasOtherID(resp *http.Response, requestID string) bool {
	return slices.ContainsFunc(resp.Header.Values(c.RequestID), func(id string) bool { return id != "" && id != requestID })
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
