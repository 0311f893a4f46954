package front

import (
	"net/http"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/verdict"
	"github.com/yarrowmast/yarrowmast/pkg/wire"
)

// keyHomeRetryAfter is the Retry-After when too few homes of a key replied.
const keyHomeRetryAfter = 2 * time.Second

// Refusals of a request whose key was not granted. This request did not run, but an earlier one
// with the same key may have.
var (
	errKeyUsed = &verdict.Error{
		Verdict: verdict.MayHaveRun, Phase: verdict.PhaseAdmit, Status: http.StatusConflict, Code: "key-used",
		Detail: "a request with this idempotency key was taken before; look up what became of it",
	}
	errKeyUnknown = &verdict.Error{
		Verdict: verdict.MayHaveRun, Phase: verdict.PhaseAdmit, Status: http.StatusConflict, Code: "key-unknown",
		Detail: "the fleet cannot know whether this idempotency key was used; look up what became of it, or send when it was first used as Idempotency-Key-Time",
	}
	errKeyHomesUnreachable = verdict.New(verdict.PhaseAdmit, http.StatusServiceUnavailable, "key-home-unreachable",
		"the routers that remember this idempotency key cannot be reached; come back later")
)

// ClaimError returns the refusal for the result of a claim, nil if the key was granted.
func ClaimError(state wire.ClaimState) error {
	switch state {
	case wire.ClaimGranted:
		return nil
	case wire.ClaimTaken:
		return errKeyUsed
	case wire.ClaimUnknown:
		return errKeyUnknown
	default:
		return errKeyHomesUnreachable.WithRetryAfter(keyHomeRetryAfter)
	}
}
