package front

import (
	"bytes"
	"strconv"
	"strings"
)

// headFields holds the header fields that the early check needs.
type headFields struct {
	host, path string
	id         string
	key        []byte
	tokens     string
	parts      string
	// deadline is in milliseconds and above 0.
	deadline      int64
	contentLength int
}

// parseFields parses a request head. It returns false if the HTTP server must handle the
// request: malformed lines, a body that is large or of unknown length, Expect or Upgrade, a
// repeated field, or a missing required one.
func (s *Server) parseFields(head []byte) (*headFields, bool) {
	line, rest, _ := bytes.Cut(head, lineEnd)
	_, target, ok := bytes.Cut(line, []byte(" "))
	if !ok {
		return nil, false
	}
	target, proto, ok := bytes.Cut(target, []byte(" "))
	if !ok || string(proto) != "HTTP/1.1" || len(target) == 0 || target[0] != '/' {
		return nil, false
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	fields := &headFields{path: string(path)}
	seen := 0
	for len(rest) > len(lineEnd) {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 {
			return nil, false
		}
		bit, valid := s.parseField(fields, name, bytes.TrimSpace(value))
		if !valid || seen&bit != 0 {
			return nil, false
		}
		seen |= bit
	}
	const required = fieldHost | fieldID | fieldDeadline | fieldKey
	return fields, seen&required == required
}

// Bits for the fields that have been seen.
const (
	fieldHost = 1 << iota
	fieldID
	fieldDeadline
	fieldKey
	fieldTokens
	fieldParts
	fieldLength
)

// parseField parses one field. It returns the field's bit, 0 for other fields, and whether the
// early check can handle it.
func (s *Server) parseField(fields *headFields, name, value []byte) (bit int, valid bool) {
	headers := &s.opt.headers
	var err error
	switch {
	case equalFoldName(name, "Host"):
		fields.host = string(value)
		return fieldHost, true
	case equalFoldName(name, headers.RequestID):
		fields.id = string(value)
		return fieldID, true
	case equalFoldName(name, headers.Deadline):
		fields.deadline, err = strconv.ParseInt(string(value), 10, 64)
		return fieldDeadline, err == nil && fields.deadline > 0
	case equalFoldName(name, headers.Key):
		fields.key, valid = bytes.CutPrefix(value, []byte(headers.KeyPrefix))
		return fieldKey, valid && len(fields.key) > 0
	case equalFoldName(name, headers.Tokens):
		fields.tokens = string(value)
		return fieldTokens, true
	case equalFoldName(name, headers.Parts):
		fields.parts = string(value)
		return fieldParts, true
	case equalFoldName(name, "Content-Length"):
		fields.contentLength, err = strconv.Atoi(string(value))
		return fieldLength, err == nil && fields.contentLength >= 0 && fields.contentLength <= maxEarlyBody
	case equalFoldName(name, "Transfer-Encoding"), equalFoldName(name, "Expect"), equalFoldName(name, "Upgrade"):
		return 0, false
	default:
		return 0, true
	}
}

// equalFoldName reports whether a field has the given name, ignoring case.
func equalFoldName(name []byte, other string) bool {
	return len(name) == len(other) && len(other) > 0 && strings.EqualFold(string(name), other)
}
