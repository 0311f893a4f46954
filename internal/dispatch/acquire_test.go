package dispatch

import (
	"net/http"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestAdjustResult guards against blaming a backend server for a stall that the router's own
// lag may have caused.
func TestAdjustResult(t *testing.T) {
	tests := map[string]struct {
		result    admit.Result
		saturated bool
		want      admit.Result
	}{
		"stalled, not saturated":     {admit.Stalled, false, admit.Stalled},
		"stalled, saturated":         {admit.Stalled, true, admit.Unknown},
		"unreachable, not saturated": {admit.Unreachable, false, admit.Unreachable},
		"unreachable, saturated":     {admit.Unreachable, true, admit.Unknown},
		"failed, saturated":          {admit.Failed, true, admit.Failed},
		"broken, saturated":          {admit.Broken, true, admit.Broken},
		"succeeded, saturated":       {admit.Succeeded, true, admit.Succeeded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := adjustResult(tc.result, tc.saturated); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// TestWasDisconnected checks which outcomes count as a connection closed by the backend server.
func TestWasDisconnected(t *testing.T) {
	usage := func(code string, sent, stalled bool) front.Usage {
		return front.Usage{Sent: sent, Stalled: stalled, Error: verdict.New(verdict.PhaseStream, http.StatusBadGateway, code, "")}
	}
	malformed := func(code string) front.Usage {
		u := usage(code, true, false)
		u.Malformed = true
		return u
	}
	tests := map[string]struct {
		usage front.Usage
		want  bool
	}{
		"answered":                         {front.Usage{Sent: true, Status: http.StatusOK}, false},
		"disconnected before the response": {usage("backend-broke", true, false), true},
		"disconnected during the response": {usage("answer-cut", true, false), true},
		"closed after a stall":             {usage("answer-cut", true, true), false},
		"nothing was sent":                 {usage("backend-broke", false, false), false},
		"caller disconnected":              {usage("caller-gone", true, false), false},
		"deadline exceeded":                {usage("deadline", true, false), false},
		"invalid response":                 {usage("bad-answer", true, false), false},
		"bytes that are no response":       {malformed("backend-broke"), false},
		"bytes within the response":        {malformed("answer-cut"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := wasDisconnected(tc.usage); got != tc.want {
				t.Errorf("wasDisconnected() = %v", got)
			}
		})
	}
}

// TestConnectionShare checks how a backend server's connection limit is divided among the known
// routers.
func TestConnectionShare(t *testing.T) {
	tests := map[string]struct {
		limit   int
		routers int64
		want    int
	}{
		"not stated":              {0, 62, 0},
		"one router":              {430, 1, 215},
		"routers not counted yet": {430, 0, 215},
		"many routers":            {430, 62, 3},
		"more than connections":   {100, 300, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{}
			v := &table.Table{Services: []table.ServiceRow{{Name: "desk", MaxConnections: tc.limit}}}
			v.Index()
			d.shared.table.Store(v)
			d.shared.routerCount.Store(tc.routers)
			if got := d.connectionShare("desk"); got != tc.want {
				t.Errorf("%d connections, want %d", got, tc.want)
			}
		})
	}
}

// TestIsCompleted checks which outcomes clear the crashes that are held against a request and the parts of its prompt.
func TestIsCompleted(t *testing.T) {
	tests := map[string]struct {
		usage front.Usage
		want  bool
	}{
		"answered":                      {front.Usage{Sent: true, Status: http.StatusOK}, true},
		"answered without a body":       {front.Usage{Sent: true, Status: http.StatusNoContent}, true},
		"refused by the backend server": {front.Usage{Sent: true, Status: http.StatusNotFound}, false},
		"failed":                        {front.Usage{Sent: true, Status: http.StatusInternalServerError}, false},
		"stream without an event":       {front.Usage{Sent: true, Status: http.StatusOK, Empty: true}, false},
		"cut":                           {front.Usage{Sent: true, Status: http.StatusOK, Error: verdict.New(verdict.PhaseStream, http.StatusBadGateway, "answer-cut", "")}, false},
		"cut, the caller has left":      {front.Usage{Sent: true, Status: http.StatusOK, Error: verdict.New(verdict.PhaseStream, statusClientClosed, "caller-gone", "")}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := isCompleted(tc.usage); got != tc.want {
				t.Errorf("isCompleted() = %v", got)
			}
		})
	}
}

// statusClientClosed is logged for callers that left.
const statusClientClosed = 499
