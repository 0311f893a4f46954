package dispatch

import (
	"net/http"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/front"
	"github.com/yarrowmast/yarrowmast/pkg/admit"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// TestBlamed looks that a router which is late itself puts no silence down to a
// backend server, but failures that were told.
func TestBlamed(t *testing.T) {
	tests := map[string]struct {
		result admit.Result
		late   bool
		want   admit.Result
	}{
		"silent, in time":    {admit.Stalled, false, admit.Stalled},
		"silent, late":       {admit.Stalled, true, admit.Unknown},
		"unreached, in time": {admit.Unreachable, false, admit.Unreachable},
		"unreached, late":    {admit.Unreachable, true, admit.Unknown},
		"failed, late":       {admit.Failed, true, admit.Failed},
		"broken, late":       {admit.Broken, true, admit.Broken},
		"answered, late":     {admit.Answered, true, admit.Answered},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := blamed(tc.result, tc.late); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// TestWasCut looks which ends of attempts are ends of their backend servers.
func TestWasCut(t *testing.T) {
	usage := func(code string, sent, silent bool) front.Usage {
		return front.Usage{Sent: sent, Stalled: silent, Error: verdict.New(verdict.PhaseStream, http.StatusBadGateway, code, "")}
	}
	tests := map[string]struct {
		usage front.Usage
		want  bool
	}{
		"answered":                     {front.Usage{Sent: true, Status: http.StatusOK}, false},
		"broken off before the answer": {usage("backend-broke", true, false), true},
		"broken off in the answer":     {usage("answer-cut", true, false), true},
		"closed here, for its silence": {usage("answer-cut", true, true), false},
		"nothing was sent":             {usage("backend-broke", false, false), false},
		"the caller left":              {usage("caller-gone", true, false), false},
		"the deadline passed":          {usage("deadline", true, false), false},
		"not its own answer":           {usage("bad-answer", true, false), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := wasCut(tc.usage); got != tc.want {
				t.Errorf("cut: %v", got)
			}
		})
	}
}

// TestConnectionsPart divides the connections that a backend server takes among the
// routers that are known.
func TestConnectionsPart(t *testing.T) {
	tests := map[string]struct {
		takes   int
		routers int64
		want    int
	}{
		"not stated":            {0, 62, 0},
		"one router":            {430, 1, 215},
		"nobody counted yet":    {430, 0, 215},
		"many routers":          {430, 62, 3},
		"more than connections": {100, 300, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{}
			v := &table.Table{Services: []table.ServiceRow{{Name: "desk", MaxConnections: tc.takes}}}
			v.Index()
			d.shared.view.Store(v)
			d.shared.routers.Store(tc.routers)
			if got := d.connectionsPart("desk"); got != tc.want {
				t.Errorf("%d connections, want %d", got, tc.want)
			}
		})
	}
}
