package backend_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

const doneEvent = "data: [DONE]\n\n"

// TestForeignEventsAreNotForwarded guards against passing on, as events of a completion, data of another response or of none.
func TestForeignEventsAreNotForwarded(t *testing.T) {
	// after is the least number of events before it.
	type foreignEvent struct {
		text  string
		after int
	}
	tests := map[string]foreignEvent{
		"no id, unlike the others":      {"data: {\"choices\":[{\"text\":\"b\"}]}\n\n", 1},
		"empty id, unlike the others":   {"data: {\"id\":\"\",\"choices\":[{\"text\":\"b\"}]}\n\n", 1},
		"usage without an id":           {"data: {\"usage\":{\"completion_tokens\":9}}\n\n", 1},
		"another id":                    {event("y"), 1},
		"empty object":                  {"data: {}\n\n", 0},
		"null":                          {"data: null\n\n", 0},
		"number":                        {"data: 5\n\n", 0},
		"text":                          {"data: oops\n\n", 0},
		"empty data":                    {"data:\n\n", 0},
		"two objects in one event":      {"data: {\"id\":\"x\",\"choices\":[]}\ndata: {\"id\":\"x\",\"choices\":[]}\n\n", 0},
		"end marker within an event":    {"data: {\"id\":\"x\",\"choices\":[]}\ndata: [DONE]\n\n", 0},
		"end marker twice in an event":  {"data: [DONE]\ndata: [DONE]\n\n", 0},
		"event after a comment's CR":    {": a\rdata: oops\r\r\n\n", 0},
		"event after the CR of a field": {"event: a\rdata: oops\n" + event("x"), 0},
		"CR within JSON":                {"data: {\"id\":\"x\",\rdata: \"choices\":[]}\n\n", 0},
		"CR between two members":        {"data: {\"id\":\"x\",\r\"choices\":[]}\n\n", 0},
		"CR before the line's end":      {"data: {\"id\":\"x\",\"choices\":[]}\r\r\n\n", 0},
		"bytes that are no UTF-8":       {"data: {\"id\":\"x\",\"choices\":[{\"text\":\"\xff\xfe\"}]}\n\n", 0},
		"no UTF-8 in a comment":         {": \xff\xfe\n\n", 0},
		"head of another response":      {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", 0},
		"over the size limit":           {"data: {\"id\":\"x\",\"choices\":[\"" + strings.Repeat("x", 1<<20) + "\"]}\n\n", 0},
	}
	for name, foreign := range tests {
		for before := foreign.after; before < 3; before++ {
			t.Run(fmt.Sprintf("%s, after %d events", name, before), func(t *testing.T) {
				sound := strings.Repeat(event("x"), before)
				s := serve(t, respond(completionHead+sound+foreign.text+event("x")+doneEvent))
				sink := &recorder{}
				r, tokens := do(newCall(s.ln.Addr().String()), sink)
				want := callOutcome{Verdict: verdict.MayHaveRun, Code: "bad-answer", Sent: true, Began: true, Tokens: int64(before)}
				if diff := cmp.Diff(want, outcomeOf(r, tokens)); diff != "" || sink.body.String() != sound {
					t.Errorf("the caller received %.200q, outcome (-want +got):\n%s", sink.body.String(), diff)
				}
			})
		}
	}
}

// TestEventWithoutIDBeforeTheFirstID guards against passing on a whole stream whose first events may be of another response.
func TestEventWithoutIDBeforeTheFirstID(t *testing.T) {
	s := serve(t, respond(completionHead+"data: {\"choices\":[{\"text\":\"b\"}]}\n\n"+event("x")+doneEvent))
	sink := &recorder{}
	if r, _ := do(newCall(s.ln.Addr().String()), sink); r.Err == nil || strings.Contains(sink.body.String(), "\"x\"") {
		t.Errorf("%v, the caller received %q", r.Err, sink.body.String())
	}
}

// TestNothingFollowsEndMarker guards against events after the end of a completion, and against breaking off those that are
// followed by comments and blank lines alone.
func TestNothingFollowsEndMarker(t *testing.T) {
	whole := event("x") + doneEvent
	tests := map[string]struct {
		after string
		want  string
	}{
		"nothing":             {"", ""},
		"comment":             {": bye\n\n", ""},
		"blank lines":         {"\n\n", ""},
		"end marker":          {doneEvent, "bad-answer"},
		"event":               {event("x"), "bad-answer"},
		"other field":         {"retry: 1\n\n", "bad-answer"},
		"comment, then event": {": bye\n\n" + event("x"), "bad-answer"},
		"text":                {"oops\n\n", "bad-answer"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, respond(completionHead+whole+tc.after))
			sink := &recorder{}
			r, tokens := do(newCall(s.ln.Addr().String()), sink)
			if got := outcomeOf(r, tokens); got.Code != tc.want {
				t.Errorf("code %q, want %q", got.Code, tc.want)
			}
			if body := sink.body.String(); !strings.HasPrefix(body, whole) || tc.want == "" && body != whole+tc.after || strings.Count(body, "data:") != 2 {
				t.Errorf("the caller received %q", body)
			}
		})
	}
}

// TestSoundCompletionsAreForwarded guards against refusing what the format of server-sent events, or an engine, allows.
func TestSoundCompletionsAreForwarded(t *testing.T) {
	tests := map[string]struct {
		body   string
		tokens int64
	}{
		"comments":                      {": a\n\n" + event("x") + ":\n\n: b\n" + event("x") + doneEvent, 2},
		"CRLF":                          {strings.ReplaceAll(event("x")+": a\n\n"+event("x")+doneEvent, "\n", "\r\n"), 2},
		"no ids":                        {event("") + event("") + doneEvent, 2},
		"no id before the content":      {"data: {\"id\":\"\",\"choices\":[],\"filter\":[]}\n\n" + event("x") + event("x") + doneEvent, 2},
		"JSON over several lines":       {"data: {\"id\":\"x\",\ndata: \"choices\":[{}]}\n\n" + event("x") + doneEvent, 2},
		"JSON with blank lines of data": {"data\ndata: {\"id\":\"x\",\"choices\":[{}]}\ndata:\n\n" + event("x") + doneEvent, 2},
		"other fields":                  {"event: token\nid: 7\nretry: 9\n" + event("x") + "id: 8\n" + event("x") + doneEvent, 2},
		"a block without data":          {"retry: 3000\n\n" + event("x") + event("x") + doneEvent, 2},
		"error with its id":             {event("x") + event("x") + "data: {\"id\":\"x\",\"error\":{\"message\":\"no\"}}\n\n" + doneEvent, 2},
		"usage at the end":              {event("x") + "data: {\"id\":\"x\",\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n" + doneEvent, 2},
		"error without an id":           {event("x") + event("x") + "data: {\"error\":{\"message\":\"no\"}}\n\n" + doneEvent, 2},
		"error of a server without ids": {"data: {\"error\":{\"message\":\"no\"}}\n\n" + doneEvent, 0},
		"no token":                      {doneEvent, 0},
		"an event of 64 KB":             {event("x") + "data: {\"id\":\"x\",\"choices\":[\"" + strings.Repeat("x", 64<<10) + "\"]}\n\n" + doneEvent, 2},
		"an event of almost 1 MB":       {event("x") + "data: {\"id\":\"x\",\"choices\":[\"" + strings.Repeat("x", 1<<20-100) + "\"]}\n\n" + doneEvent, 2},
		"no blank after the colon":      {strings.ReplaceAll(event("x")+event("x")+doneEvent, "data: ", "data:"), 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := serve(t, respond(completionHead+tc.body))
			sink := &recorder{}
			r, tokens := do(newCall(s.ln.Addr().String()), sink)
			if r.Err != nil || tokens != tc.tokens || !bytes.Equal(sink.body.Bytes(), []byte(tc.body)) {
				t.Errorf("%v, %d tokens, the caller received %.200q", r.Err, tokens, sink.body.String())
			}
		})
	}
}
