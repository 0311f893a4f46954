package main

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// bodyError names the rule that the body of a 200 response violates, and how; "" if none.
func bodyError(res response) (rule, why string) {
	if res.Kind.isStream() {
		return streamError(res)
	}
	if want := "answer to " + res.ID; res.Body != want && (res.Complete || !strings.HasPrefix(want, res.Body)) {
		return RuleWrongBody, fmt.Sprintf("unexpected body %q", res.Body)
	}
	return "", ""
}

// streamError names the rule that the body of a stream violates, and how; "" if none.
func streamError(res response) (rule, why string) {
	list, rest := splitEvents(res.Body)
	last := res.After
	for _, event := range list {
		if !isEvent(event, res.ID, last+1) {
			return contentRule(event), fmt.Sprintf("stream has unexpected content %q after event %d", event, last)
		}
		last++
	}
	switch {
	case !isEventStart(rest, res.ID, last+1):
		return contentRule(rest), fmt.Sprintf("stream has unexpected content %q after event %d", rest, last)
	case res.Complete && (last != events || rest != ""):
		return RuleWrongBody, fmt.Sprintf("stream ended without an error after event %d of %d", last, events)
	default:
		return "", ""
	}
}

const eventEnd = "\n\n"

// eventText returns an event of a stream as a stand-in worker of a version writes it.
func eventText(id string, number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s%s", number, id, number, version, eventEnd)
}

// eventStart matches the begin of what a run writes, of this stream or another one.
var eventStart = regexp.MustCompile(`^id: [1-9]\d*\ndata: \S+ \d+ v[\d.]+`)

// contentRule returns the rule that content violates which is not the event that is due: an event of a run at the wrong place,
// or what no run made.
func contentRule(content string) string {
	if eventStart.MatchString(content) {
		return RuleWrongBody
	}
	return RuleForeignEvent
}

// splitEvents returns the whole events of a stream's body, and what follows the last one, without the comments that precede
// them.
func splitEvents(body string) (list []string, rest string) {
	for {
		event, after, whole := strings.Cut(body, eventEnd)
		if !whole {
			return list, withoutComments(body)
		}
		if event = withoutComments(event + "\n"); event != "" {
			list = append(list, event+"\n")
		}
		body = after
	}
}

// withoutComments removes the comments at the begin of a text, of which the last one may have been cut.
func withoutComments(text string) string {
	for strings.HasPrefix(text, ":") {
		_, text, _ = strings.Cut(text, "\n")
	}
	return text
}

// countEvents returns the number of events in a stream's body that follow one another from the one after a number on.
func countEvents(body string, after int) int {
	list, _ := splitEvents(body)
	n := 0
	for _, event := range list {
		if strings.HasPrefix(event, fmt.Sprintf("id: %d\n", after+n+1)) {
			n++
		}
	}
	return n
}

// isEvent reports whether text is an event of a worker of any version, isEventStart whether it begins one.
func isEvent(text, id string, number int) bool {
	return slices.ContainsFunc(versions, func(v string) bool { return text == eventText(id, number, v) })
}

func isEventStart(text, id string, number int) bool {
	return slices.ContainsFunc(versions, func(v string) bool { return strings.HasPrefix(eventText(id, number, v), text) })
}
