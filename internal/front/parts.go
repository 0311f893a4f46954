package front

import (
	"fmt"
	"strings"

	"github.com/yarrowmast/yarrowmast/pkg/suspect"
)

const (
	// maxParts bounds the parts of a prompt that are tracked. Prompts have two to four in practice.
	maxParts = 16
	// maxLoggedID bounds the length of a part's ID in log lines.
	maxLoggedID = 32
)

// part is a part of a prompt that other requests may share.
type part struct {
	// id is what the caller states.
	id     string
	digest suspect.Digest
}

// sharedParts returns the parts that a caller states in the form ID:TOKENS,..., without the last one,
// which is unique to the request, and without repetitions.
func sharedParts(account, text string) []part {
	last := strings.LastIndexByte(text, ',')
	if last < 0 {
		return nil
	}
	var parts []part
	known := map[string]bool{}
	for stated := range strings.SplitSeq(text[:last], ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(stated), ":")
		if id == "" || known[id] {
			continue
		}
		if len(parts) == maxParts {
			break
		}
		known[id] = true
		parts = append(parts, part{id: id, digest: suspect.PartDigest(account, id)})
	}
	return parts
}

// formatParts formats parts for log lines, as ID/DIGEST,...
func formatParts(parts []part) string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, fmt.Sprintf("%s/%s", p.id[:min(maxLoggedID, len(p.id))], p.digest))
	}
	return strings.Join(list, ",")
}
