package node

import (
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/config"
	"github.com/yarrowmast/yarrowmast/internal/front"
)

// TestReloadReachesForwardedConnections guards against batching the responses to other routers' callers by the
// delay of the former settings.
func TestReloadReachesForwardedConnections(t *testing.T) {
	n := &Node{maxEventDelay: 200 * time.Millisecond, Front: front.New("a", 1, nil, nil)}
	s := config.Defaults()
	s.Callers.MaxEventDelay = 80 * time.Millisecond
	n.Reload(s)
	if got, want := n.forwardedBatchDelay(), 20*time.Millisecond; got != want {
		t.Errorf("responses are batched for %v, want %v", got, want)
	}
}
