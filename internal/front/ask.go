package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yarrowmast/yarrowmast/internal/bodymemory"
	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Headers that callers may send.
const (
	// HeaderDeadline is the time until the deadline, in milliseconds from arrival.
	HeaderDeadline = "Yarrowmast-Deadline-Ms"
	// HeaderNotRepeatable is true if the request must not run twice.
	HeaderNotRepeatable = "Yarrowmast-Not-Repeatable"
	// HeaderPriority orders the requests of one account, from 0 to 9.
	HeaderPriority = "Yarrowmast-Priority"
	// HeaderIdempotencyKey is the request's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyKeyTime is when the key was first used, in RFC 3339 format.
	HeaderIdempotencyKeyTime = "Idempotency-Key-Time"
	maxIdempotencyKeyLength  = 256
	maxPriority              = 9
	// hashedPrefixBytes is the length of the body's prefix that is hashed to find backend
	// servers with a cached prompt.
	hashedPrefixBytes = 256
)

// inboundRequest is a caller's request after parsing.
type inboundRequest struct {
	id      string
	account table.Account
	model   string
	method  string
	host    string
	path    string
	body    []byte
	// bodyMemory and responseMemory are reserved until the request ends.
	bodyMemory, responseMemory bodymemory.Reservation
	mayStream                  bool
	notRepeatable              bool
	priority                   int
	arrived                    time.Time
	deadline                   time.Time
	// callerDeadline is until when the caller waits, which may be after the route's timeout.
	callerDeadline time.Time
	idempotencyKey string
	keyFirstUsed   time.Time
	// route is nil for requests to the built-in API.
	route *routeState
	// cachedDigest is the result of digest, 0 before its first call.
	cachedDigest uint64
}

// authenticate returns the account of the request's key. Keys are looked up by their SHA-256
// hash, so that the timing reveals nothing about them.
func authenticate(r *http.Request, t *table.Table) (table.Account, *verdict.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return table.Account{}, errNoKey
	}
	account, ok := accountByKey(t, []byte(key))
	if !ok {
		return table.Account{}, errWrongKey
	}
	return account, nil
}

// accountByKey returns the account with the given key.
func accountByKey(t *table.Table, key []byte) (table.Account, bool) {
	sum := sha256.Sum256(key)
	return t.AccountByKeyHash(hex.EncodeToString(sum[:]))
}

// readHeaders reads the deadline, priority, idempotency key and repeatability.
func (s *Server) readHeaders(in *inboundRequest, r *http.Request) *verdict.Error {
	timeout := s.limits.Load().Deadline
	if v := r.Header.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return badHeader(HeaderDeadline)
		}
		timeout = clampTimeout(ms)
	}
	in.deadline = in.arrived.Add(timeout)
	if v := r.Header.Get(HeaderNotRepeatable); v != "" {
		notRepeatable, err := strconv.ParseBool(v)
		if err != nil {
			return badHeader(HeaderNotRepeatable)
		}
		in.notRepeatable = notRepeatable
	}
	if v := r.Header.Get(HeaderPriority); v != "" {
		p, err := strconv.Atoi(v)
		if err != nil || p < 0 || p > maxPriority {
			return badHeader(HeaderPriority)
		}
		in.priority = p
	}
	return readIdempotencyKey(in, r)
}

func readIdempotencyKey(in *inboundRequest, r *http.Request) *verdict.Error {
	in.idempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if len(in.idempotencyKey) > maxIdempotencyKeyLength {
		return badHeader(HeaderIdempotencyKey)
	}
	v := r.Header.Get(HeaderIdempotencyKeyTime)
	if v == "" {
		return nil
	}
	t, err := time.Parse(time.RFC3339Nano, v)
	if err != nil {
		return badHeader(HeaderIdempotencyKeyTime)
	}
	in.keyFirstUsed = t
	return nil
}

func badHeader(name string) *verdict.Error {
	e := *errBadHeader
	e.Detail = "the header " + name + " cannot be read; see the page on callers"
	return &e
}

// readBody reads the whole body. An incomplete body must not reach a backend server. A body for which there is no
// memory is refused at once, before it is read if its length is stated.
func (s *Server) readBody(in *inboundRequest, w http.ResponseWriter, r *http.Request) *verdict.Error {
	limit := s.maxBody()
	if r.ContentLength > limit {
		return errBodyTooLarge
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.Load().IOTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	in.bodyMemory.Memory = &s.bodyMemory
	body, err := in.bodyMemory.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, s.limits.Load().MaxBodyMemory)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		in.body = body
		return nil
	case errors.Is(err, bodymemory.ErrFull):
		return errBodiesFull.WithRetryAfter(refusalRetryAfter)
	case errors.As(err, &tooLarge):
		return errBodyTooLarge
	default:
		return errBodyCut.Wrap(err)
	}
}

// parseModel checks that the body is JSON and returns its model field.
func parseModel(body []byte) (string, *verdict.Error) {
	var b struct {
		Model string `json:"model"`
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if err := dec.Decode(&b); err != nil {
		return "", errBadJSON.Wrap(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return "", errBadJSON
	}
	if b.Model == "" {
		return "", errBadJSON
	}
	return b.Model, nil
}

// hashPrefix returns a hash of the start of the body, which holds the prompt, or 0 if the body
// is shorter than hashedPrefixBytes.
func hashPrefix(body []byte) uint64 {
	if len(body) < hashedPrefixBytes {
		return 0
	}
	return xxhash.Sum64(body[:hashedPrefixBytes])
}
