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
	// calls is the number of calls that it took.
	calls int
}

// readHistory returns all changes up to a revision or a later one that the platform still has. Revisions have
// no times, so that the oldest one is found by search.
func readHistory(ctx context.Context, source Source, newest catalog.Revision) (changeHistory, error) {
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
