package wire

import (
	"encoding/binary"
	"errors"
)

// ErrLength says that a payload states more elements, or a longer string, than it has bytes left. The msgpack
// library allocates what an array states before it reads the elements.
var ErrLength = errors.New("wire: an element count or a length exceeds the payload")

// ErrNesting says that a payload nests arrays and maps deeper than maxNesting. The msgpack library skips values
// that it does not know by recursion, and a stack that grows too large ends the process.
var ErrNesting = errors.New("wire: arrays or maps are nested too deep")

// maxNesting is four times the depth of the deepest message, a RestrictedUpdate, so that later types may nest deeper.
const maxNesting = 32

// Format bytes of the msgpack specification. Those between two that are listed here belong to the first.
const (
	fixMap    = 0x80
	fixArray  = 0x90
	fixStr    = 0xa0
	formatNil = 0xc0
	bin8      = 0xc4
	ext8      = 0xc7
	float32s  = 0xca
	fixExt1   = 0xd4
	str8      = 0xd9
	array16   = 0xdc
	map16     = 0xde
	negative  = 0xe0
)

// numberSizes are the sizes of the formats from float32s to the last one before fixExt1, with the format byte.
var numberSizes = [...]int{5, 9, 2, 3, 5, 9, 2, 3, 5, 9}

// checkShape reports ErrLength unless each value of the payload fits in it, and ErrNesting if values nest too deep.
// Nested values follow their array or map, so that one pass over all headers sees them.
func checkShape(payload []byte) error {
	var open nesting
	for rest := payload; len(rest) > 0; {
		size, children := headerOf(rest)
		if size > len(rest) || children > len(rest)-size {
			return ErrLength
		}
		if !open.add(children) {
			return ErrNesting
		}
		rest = rest[size:]
	}
	return nil
}

// nesting is the position in nested arrays and maps: missing[i] is the number of values that the one at depth i still
// lacks, for each i below depth.
type nesting struct {
	missing [maxNesting]int
	depth   int
}

// add adds the next value, which has a number of children. It reports false if that would nest too deep.
func (n *nesting) add(children int) bool {
	if children > 0 {
		if n.depth == maxNesting {
			return false
		}
		n.missing[n.depth] = children
		n.depth++
		return true
	}
	for ; n.depth > 0; n.depth-- {
		last := &n.missing[n.depth-1]
		if *last--; *last > 0 {
			break
		}
	}
	return true
}

// headerOf returns the size of the next value without its elements, and the number of these. A size above len(p)
// means that the value is cut off.
func headerOf(p []byte) (size, children int) {
	switch f := int(p[0]); {
	case f < fixMap || f >= negative:
		return 1, 0
	case f < fixArray:
		return 1, 2 * (f - fixMap)
	case f < fixStr:
		return 1, f - fixArray
	case f < formatNil:
		return 1 + f - fixStr, 0
	case f < bin8:
		return 1, 0
	case f < ext8:
		return withLength(p, 1<<(f-bin8), 0), 0
	case f < float32s:
		return withLength(p, 1<<(f-ext8), 1), 0
	case f < fixExt1:
		return numberSizes[f-float32s], 0
	case f < str8:
		return 2 + 1<<(f-fixExt1), 0
	case f < array16:
		return withLength(p, 1<<(f-str8), 0), 0
	case f < map16:
		width := 2 << (f - array16)
		return 1 + width, lengthAt(p, width)
	default:
		width := 2 << (f - map16)
		return 1 + width, 2 * lengthAt(p, width)
	}
}

// withLength returns the size of a value whose length stands in width bytes after the format byte, and that has
// more bytes besides.
func withLength(p []byte, width, more int) int { return 1 + width + more + lengthAt(p, width) }

// lengthAt returns the number in the width bytes after the format byte, 0 if they are cut off.
func lengthAt(p []byte, width int) int {
	if len(p) <= width {
		return 0
	}
	switch width {
	case 1:
		return int(p[1])
	case 2:
		return int(binary.BigEndian.Uint16(p[1:]))
	default:
		return int(binary.BigEndian.Uint32(p[1:]))
	}
}
