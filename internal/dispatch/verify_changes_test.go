package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/internal/peer"
	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

// forgetfulSource is a platform that has forgotten its history and counts reads of everything.
type forgetfulSource struct {
	singleServerSource
	forgets *atomic.Bool
	reads   *atomic.Int64
}

func (s forgetfulSource) Read(ctx context.Context) (catalog.Update, error) {
	s.reads.Add(1)
	return s.singleServerSource.Read(ctx)
}

func (s forgetfulSource) Revision(ctx context.Context) (catalog.Revision, error) {
	if s.forgets.Load() {
		return catalog.Revision{Number: 1 << 40}, nil
	}
	return s.singleServerSource.Revision(ctx)
}

func (s forgetfulSource) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Update, error) {
	if s.forgets.Load() {
		return catalog.Update{}, catalog.ErrCompacted
	}
	return s.singleServerSource.Watch(ctx, after, wait)
}

// TestRequestedVerificationReadsNoList: streams that callers take up must not make every router read everything at once
// when the platform has forgotten its history.
func TestRequestedVerificationReadsNoList(t *testing.T) {
	source := forgetfulSource{forgets: &atomic.Bool{}, reads: &atomic.Int64{}}
	d := New(Identity{Name: "r-0", Address: "r-0", Zone: "a", Incarnation: 1}, source, testTransport{make(chan peer.Inbound)}, WithLogger(slog.New(slog.DiscardHandler)))
	d.Start()
	waitFor(t, "a table", func() bool { return d.Table() != nil })
	d.Close()
	source.forgets.Store(true)
	before := source.reads.Load()
	if err := d.verifyChanges(d.now()); !errors.Is(err, errChangesUnknown) {
		t.Errorf("got %v", err)
	}
	if n := source.reads.Load() - before; n != 0 {
		t.Errorf("%d reads of everything", n)
	}
}
