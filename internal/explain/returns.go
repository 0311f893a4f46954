package explain

import (
	"cmp"
	"fmt"
	"strings"
)

// returnCases explains the values of the key return.
var returnCases = map[string]string{
	"in-target": "it was expected to begin within its target then, counted from the caller's first attempt",
	"later":     "it was expected to begin after its target then, but before its deadline",
	"none":      "no engine was expected to begin before its deadline, so that the time is after it",
}

// writeReturn writes when the caller of a refused request was told to return, and why then.
func writeReturn(b *strings.Builder, fields map[string]string) {
	after := fields["retry_after_ms"]
	if after == "" {
		return
	}
	_, _ = fmt.Fprintf(b, "  told to return after %s ms: %s\n", after, cmp.Or(returnCases[fields["return"]], "the time does not follow from an estimate of capacity"))
}
