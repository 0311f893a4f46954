// Package strictjson iterates over the fields of JSON objects. Unlike encoding/json, it
// distinguishes names by case and returns duplicate fields.
package strictjson

import (
	"encoding/json"
	"strconv"
)

// Field is one field of a JSON object.
type Field struct {
	// Name is unescaped. Value is the raw JSON without surrounding space. Both may
	// point into the input.
	Name, Value []byte
}

// Fields calls yield for each field of a JSON object in order, duplicates included. It reports
// whether data is exactly one valid object.
func Fields(data []byte, yield func(Field)) bool {
	if !json.Valid(data) {
		return false
	}
	pos := skipSpace(data, 0)
	if data[pos] != '{' {
		return false
	}
	for pos = skipSpace(data, pos+1); data[pos] != '}'; pos = skipSpace(data, pos) {
		if data[pos] == ',' {
			pos = skipSpace(data, pos+1)
		}
		end := skipValue(data, pos)
		name, ok := stringBytes(data[pos:end])
		if !ok {
			return false
		}
		pos = skipSpace(data, skipSpace(data, end)+1)
		end = skipValue(data, pos)
		yield(Field{name, data[pos:end]})
		pos = end
	}
	return true
}

func skipSpace(data []byte, pos int) int {
	for pos < len(data) && (data[pos] == ' ' || data[pos] == '\t' || data[pos] == '\n' || data[pos] == '\r') {
		pos++
	}
	return pos
}

// skipValue returns the position after the value that begins at pos. The JSON must be valid.
func skipValue(data []byte, pos int) int {
	if data[pos] == '"' {
		return skipString(data, pos)
	}
	depth := 0
	for ; pos < len(data); pos++ {
		switch data[pos] {
		case '"':
			pos = skipString(data, pos) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return pos
			}
			if depth--; depth == 0 {
				return pos + 1
			}
		case ',', ':', ' ', '\t', '\n', '\r':
			if depth == 0 {
				return pos
			}
		}
	}
	return pos
}

func skipString(data []byte, pos int) int {
	for pos++; data[pos] != '"'; pos++ {
		if data[pos] == '\\' {
			pos++
		}
	}
	return pos + 1
}

// String decodes a JSON string. It reports false for any other value.
func String(value []byte) (string, bool) {
	text, ok := stringBytes(value)
	return string(text), ok
}

// stringBytes decodes a JSON string. The result points into value unless the string has escapes
// or bytes outside ASCII; this saves an allocation per name.
func stringBytes(value []byte) ([]byte, bool) {
	if len(value) < 2 || value[0] != '"' {
		return nil, false
	}
	inner := value[1 : len(value)-1]
	for _, b := range inner {
		if b == '\\' || b >= 0x80 {
			var s string
			err := json.Unmarshal(value, &s)
			return []byte(s), err == nil
		}
	}
	return inner, true
}

// maxExactInt is the largest n such that a float64 represents all integers up to n exactly.
const maxExactInt = 1 << 53

// Integer decodes a JSON number that is an integer, also one in decimal or exponent notation.
// It reports false for any other value.
func Integer(value []byte) (int64, bool) {
	if n, err := strconv.ParseInt(string(value), 10, 64); err == nil {
		return n, true
	}
	f, ok := Number(value)
	if !ok || f != float64(int64(f)) || f > maxExactInt || f < -maxExactInt {
		return 0, false
	}
	return int64(f), true
}

// Number parses a value as a float64. It reports false if the value is not a number.
func Number(value []byte) (float64, bool) {
	f, err := strconv.ParseFloat(string(value), 64)
	return f, err == nil
}
