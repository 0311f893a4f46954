package forward_test

import (
	"io"
	"testing"

	"github.com/yarrowmast/yarrowmast/internal/forward"
	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// TestResponseToFormerProcessIsNotRelayed guards against giving a caller the response to a connection that a former process of
// this router had forwarded: a peer that has not noticed the restart goes on sending it to the same address.
func TestResponseToFormerProcessIsNotRelayed(t *testing.T) {
	tests := map[string]wire.ForwardData{
		"whole":      {Seq: 1, Data: []byte("former"), Last: true},
		"its first":  {Seq: 1, Data: []byte("former")},
		"in between": {Seq: 7, Data: []byte("former")},
		"given up":   {Last: true},
		"refused":    {Seq: 1, Refused: true, Last: true},
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			former, current := newEntry(t), newEntry(t)
			late.Stream, late.Response = former.stream, true
			current.Handle(peer.Inbound{From: "b", Conn: 1, Msg: &late})
			current.respond(1, 1, "current", true)
			result := <-current.results
			got, err := io.ReadAll(current.caller)
			if err != nil || string(got) != "current" || result.Outcome != forward.Ended || result.Reason != "" {
				t.Errorf("the caller received %q, %v: %v, %q", got, err, result.Outcome, result.Reason)
			}
			former.Close()
		})
	}
}
