package front

import (
	"bytes"
	"strconv"
	"strings"
)

// fields are those of a request's head that an early refusal needs.
type fields struct {
	host, path string
	id         string
	key        []byte
	tokens     string
	// deadline is in milliseconds, above 0.
	deadline int64
	body     int
}

// plainFields reads a head of one line each for the request and its fields. It reports
// false for a head that is not plain: whose body has no stated length or is large, whose
// caller waits for a word before it sends it, that asks for another protocol, that
// states a field twice or leaves one out.
func (s *Server) plainFields(b []byte) (*fields, bool) {
	line, rest, _ := bytes.Cut(b, lineEnd)
	_, target, ok := bytes.Cut(line, []byte(" "))
	if !ok {
		return nil, false
	}
	target, proto, ok := bytes.Cut(target, []byte(" "))
	if !ok || string(proto) != "HTTP/1.1" || len(target) == 0 || target[0] != '/' {
		return nil, false
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	f := &fields{path: string(path)}
	seen := 0
	for len(rest) > len(lineEnd) {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 {
			return nil, false
		}
		which, plain := s.takeField(f, name, bytes.TrimSpace(value))
		if !plain || seen&which != 0 {
			return nil, false
		}
		seen |= which
	}
	const needed = fieldHost | fieldID | fieldDeadline | fieldKey
	return f, seen&needed == needed
}

// The fields that are read, as bits.
const (
	fieldHost = 1 << iota
	fieldID
	fieldDeadline
	fieldKey
	fieldTokens
	fieldLength
)

// takeField reads one field. It returns which it is, 0 if it does not matter, and
// whether it is plain.
func (s *Server) takeField(f *fields, name, value []byte) (which int, plain bool) {
	d := &s.opt.dialect
	var err error
	switch {
	case is(name, "Host"):
		f.host = string(value)
		return fieldHost, true
	case is(name, d.RequestID):
		f.id = string(value)
		return fieldID, true
	case is(name, d.Deadline):
		f.deadline, err = strconv.ParseInt(string(value), 10, 64)
		return fieldDeadline, err == nil && f.deadline > 0
	case is(name, d.Key):
		f.key, plain = bytes.CutPrefix(value, []byte(d.KeyPrefix))
		return fieldKey, plain && len(f.key) > 0
	case is(name, d.Tokens):
		f.tokens = string(value)
		return fieldTokens, true
	case is(name, "Content-Length"):
		f.body, err = strconv.Atoi(string(value))
		return fieldLength, err == nil && f.body >= 0 && f.body <= earlyBody
	case is(name, "Transfer-Encoding"), is(name, "Expect"), is(name, "Upgrade"):
		return 0, false
	default:
		return 0, true
	}
}

// is reports whether a field's name is another one, whatever its case.
func is(name []byte, other string) bool {
	return len(name) == len(other) && len(other) > 0 && strings.EqualFold(string(name), other)
}
