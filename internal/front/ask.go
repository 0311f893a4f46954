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

	"github.com/yarrowmast/yarrowmast/pkg/table"
	"github.com/yarrowmast/yarrowmast/pkg/verdict"
)

// Headers that callers may send.
const (
	// HeaderDeadline is the deadline in milliseconds from the arrival.
	HeaderDeadline = "Yarrowmast-Deadline-Ms"
	// HeaderNotRepeatable marks a request as not to be repeated: true or false.
	HeaderNotRepeatable = "Yarrowmast-Not-Repeatable"
	// HeaderPriority orders an account's own requests, from 0 to 9.
	HeaderPriority = "Yarrowmast-Priority"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderIdempotencyKeyTime is when the key was first used, in RFC 3339.
	HeaderIdempotencyKeyTime = "Idempotency-Key-Time"
	maxKeyLength             = 256
	maxPriority              = 9
	// prefixBytes is how much of a body is hashed to find cached prompts.
	prefixBytes = 256
)

// ask is a caller's request as it was understood.
type ask struct {
	id       string
	account  table.Account
	model    string
	method   string
	host     string
	path     string
	body     []byte
	events   bool
	once     bool
	priority int
	arrived  time.Time
	deadline time.Time
	key      string
	keyTime  time.Time
	// route is nil for the own interfaces.
	route *routing
	// hash is the digest, 0 before it was worked out.
	hash uint64
}

// authenticate finds the account by the key's hash. Keys are compared by a
// look-up of their SHA-256, whose timing tells nothing of any key.
func authenticate(r *http.Request, t *table.Table) (table.Account, *verdict.Error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return table.Account{}, errNoKey
	}
	a, ok := accountOf(t, []byte(key))
	if !ok {
		return table.Account{}, errWrongKey
	}
	return a, nil
}

// accountOf returns the account that has a key.
func accountOf(t *table.Table, key []byte) (table.Account, bool) {
	sum := sha256.Sum256(key)
	return t.AccountByKeyHash(hex.EncodeToString(sum[:]))
}

// readHeaders reads what the caller's headers say of the request.
func (s *Server) readHeaders(a *ask, r *http.Request) *verdict.Error {
	wait := s.callers.Load().Deadline
	if v := r.Header.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return badHeader(HeaderDeadline)
		}
		wait = boundedWait(ms)
	}
	a.deadline = a.arrived.Add(wait)
	if v := r.Header.Get(HeaderNotRepeatable); v != "" {
		once, err := strconv.ParseBool(v)
		if err != nil {
			return badHeader(HeaderNotRepeatable)
		}
		a.once = once
	}
	if v := r.Header.Get(HeaderPriority); v != "" {
		p, err := strconv.Atoi(v)
		if err != nil || p < 0 || p > maxPriority {
			return badHeader(HeaderPriority)
		}
		a.priority = p
	}
	return readKey(a, r)
}

func readKey(a *ask, r *http.Request) *verdict.Error {
	a.key = r.Header.Get(HeaderIdempotencyKey)
	if len(a.key) > maxKeyLength {
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
	a.keyTime = t
	return nil
}

func badHeader(name string) *verdict.Error {
	e := *errBadHeader
	e.Detail = "the header " + name + " cannot be read; see the page on callers"
	return &e
}

// readBody reads the whole body, since only a whole one may be passed on.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Error) {
	limit := s.maxBody()
	if r.ContentLength > limit {
		return nil, errBodyTooLong
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.callers.Load().IOTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	var buf bytes.Buffer
	if r.ContentLength > 0 {
		buf.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return buf.Bytes(), nil
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, errBodyTooLong
	}
	return nil, errBody.Wrap(err)
}

// modelOf reads the model's name out of a body and checks that it is JSON.
func modelOf(body []byte) (string, *verdict.Error) {
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

// prefixOf hashes the beginning of a body, where the prompt stands.
func prefixOf(body []byte) uint64 {
	if len(body) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(body[:prefixBytes])
}
