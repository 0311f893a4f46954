package dispatch

import (
	"context"
	"errors"
	"fmt"

	"github.com/yarrowmast/yarrowmast/pkg/catalog"
)

const (
	// historyLookback is the number of revisions that is asked for first, historyLookbackFactor by how much
	// it grows while the platform still has them.
	historyLookback       = 64
	historyLookbackFactor = 4
	// maxHistory bounds the revisions that are asked for.
	maxHistory = 1 << 16
)

// Errors of a search for the platform's oldest change.
var (
	errHistoryTooLong    = fmt.Errorf("dispatch: the platform has more than %d changes in its history; check what writes to it so often", maxHistory)
	errHistoryIncomplete = errors.New("dispatch: the platform returned a history that lacks its latest changes; read again")
)

// changeHistory is all that the platform still knows of past changes.
type changeHistory struct {
	catalog.Update
	// isWhole says that it has every change ever made.
	isWhole bool
	// unaccounted is the number of revisions before it that nothing accounts for. Entries may have been listed and
	// removed at these, at any time: revisions have none.
	unaccounted uint64
	// knownAfter is the revision number up to which this router knew all, if the history reaches back to it, else 0.
	knownAfter uint64
	// listed is what was listed when it was read, empty if it is whole or reaches back to what was known.
	listed catalog.Update
	// calls is the number of calls that it took.
	calls int
}

// historyRequest asks for the platform's history.
type historyRequest struct {
	// asOf is the revision that is known.
	asOf catalog.Revision
	// knownTo is the revision up to which every change is known, zero if none is.
	knownTo catalog.Revision
}

// readHistory returns all changes up to a revision or a later one that the platform still has, and what came before them.
func readHistory(ctx context.Context, source Source, r historyRequest) (changeHistory, error) {
	h, err := readChangeHistory(ctx, source, r.asOf)
	if err != nil || h.isWhole {
		return h, err
	}
	return h, h.readUnaccounted(ctx, source, r.knownTo)
}

// readUnaccounted finds out how many revisions after one that is known, and before the history, nothing accounts for. A
// history that was dropped looks like one in which nothing happened. What is listed tells whether that matters.
func (h *changeHistory) readUnaccounted(ctx context.Context, source Source, knownTo catalog.Revision) error {
	known := uint64(0)
	if knownTo.Epoch == h.Epoch {
		known = knownTo.Number
	}
	if known >= h.After {
		h.knownAfter = known
		return nil
	}
	h.calls++
	var err error
	if h.listed, err = source.Read(ctx); err != nil {
		return err
	}
	if h.listed.Epoch != h.Epoch {
		return errHistoryIncomplete
	}
	h.unaccounted = catalog.Unaccounted(known, h.After, &h.listed, &h.Update)
	return nil
}

// readChangeHistory returns all changes up to a revision or a later one that the platform still has. Revisions have
// no times, so that the oldest one is found by search.
func readChangeHistory(ctx context.Context, source Source, newest catalog.Revision) (changeHistory, error) {
	var h changeHistory
	// The changes after kept are read, those after lost are no longer there. Until some are known to be lost,
	// each call looks further back.
	lost, kept := uint64(0), newest.Number+1
	lookback := uint64(0)
	for kept-lost > 1 {
		since := lost + (kept-lost)/2
		if lost == 0 {
			since = max(1, newest.Number-min(lookback, newest.Number))
		}
		if newest.Number-since > maxHistory {
			return h, errHistoryTooLong
		}
		h.calls++
		update, err := source.Watch(ctx, catalog.Revision{Epoch: newest.Epoch, Number: since}, 0)
		switch {
		case errors.Is(err, catalog.ErrCompacted) && since < newest.Number:
			lost = since
		case err != nil:
			return h, err
		case update.AsOf < newest.Number:
			return h, errHistoryIncomplete
		default:
			kept, h.Update = since, update
			lookback = max(historyLookback, historyLookbackFactor*lookback)
		}
	}
	h.isWhole = lost == 0
	return h, nil
}
