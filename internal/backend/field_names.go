package backend

import (
	"net/http"
	"strings"
)

// tokenMarks are the characters of a field's name besides letters and digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isFieldName reports whether a text is the name of a header field.
func isFieldName(name string) bool {
	for i := range len(name) {
		c := name[i]
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isAlphanumeric && strings.IndexByte(tokenMarks, c) < 0 {
			return false
		}
	}
	return name != ""
}

// hasFieldNames reports whether all fields of a head have names of header fields. net/http keeps those with blanks, so that
// "Transfer-Encoding " neither counts nor goes away.
func hasFieldNames(h http.Header) bool {
	for name := range h {
		if !isFieldName(name) {
			return false
		}
	}
	return true
}
