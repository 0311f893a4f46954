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

// Part is a part of a prompt that other requests may share.
type Part struct {
	// ID is what the caller states. Digest identifies the part among those of its account.
	ID     string
	Digest suspect.Digest
}

// sharedParts returns the parts that a caller states in the form ID:TOKENS,..., without the last one,
// which is unique to the request, and without repetitions.
func sharedParts(account, text string) []Part {
	last := strings.LastIndexByte(text, ',')
	if last < 0 {
		return nil
	}
	var parts []Part
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
		parts = append(parts, Part{ID: id, Digest: suspect.PartDigest(account, id)})
	}
	return parts
}

// LoggedID returns the ID for log lines.
func (p Part) LoggedID() string { return p.ID[:min(maxLoggedID, len(p.ID))] }

// formatParts formats parts for log lines, as ID/DIGEST,...
func formatParts(parts []Part) string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, fmt.Sprintf("%s/%s", p.LoggedID(), p.Digest))
	}
	return strings.Join(list, ",")
}
