// Package safedecode decodes msgpack that another process or a file holds. The msgpack library allocates memory for the lengths
// and element counts that the data claims, also when the data is too short for them; a few bytes could so use up all memory.
package safedecode

import (
	"bytes"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("msgpack")

// maxDepth is the maximum nesting of arrays and maps. The messages of this project nest less deeply.
const maxDepth = 32

// Msgpack decodes exactly one value into v. Before that it checks that the data holds as many bytes and elements as it claims. A panic of the
// library, such as on an extension in place of a slice, is returned as an error.
func Msgpack(data []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = Error.New("panic: %v", p)
		}
	}()
	if err := check(data); err != nil {
		return err
	}
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Decode(v); err != nil {
		return Error.Wrap(err)
	}
	return nil
}

// check walks through one value, which must take all of the data. It allocates nothing.
func check(data []byte) error {
	var pending [maxDepth]uint64 // values that are still to come, by nesting
	pending[0] = 1
	for depth := 0; depth >= 0; {
		if pending[depth] == 0 {
			depth--
			continue
		}
		pending[depth]--
		head, size, elements, ok := parseHead(data)
		rest := uint64(len(data) - min(head, len(data)))
		switch {
		case !ok || head > len(data) || size > rest:
			return Error.New("a value is invalid or exceeds the data")
		case elements > rest:
			return Error.New("%d elements are claimed where %d bytes are left", elements, rest)
		}
		data = data[head+int(size):]
		if elements == 0 {
			continue
		}
		if depth++; depth == maxDepth {
			return Error.New("values are nested more deeply than %d", maxDepth)
		}
		pending[depth] = elements
	}
	if len(data) > 0 {
		return Error.New("%d trailing bytes after the value", len(data))
	}
	return nil
}

// parseHead returns the length of the head of the first value, the number of bytes of its content, and the number of values that
// it contains. It returns false if the head is invalid or incomplete.
func parseHead(data []byte) (head int, size, elements uint64, ok bool) {
	if len(data) == 0 {
		return 0, 0, 0, false
	}
	switch code := data[0]; {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.False, code == msgpcode.True:
		return 1, 0, 0, true
	case msgpcode.IsFixedMap(code):
		return 1, 0, 2 * uint64(code&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(code):
		return 1, 0, uint64(code & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(code):
		return 1, uint64(code & msgpcode.FixedStrMask), 0, true
	default:
		return parseLongHead(code, data[1:])
	}
}

// parseLongHead is parseHead for the codes that a number follows, or that have a fixed size.
func parseLongHead(code byte, data []byte) (head int, size, elements uint64, ok bool) {
	f, found := formats[code]
	if !found || len(data) < f.lengthBytes {
		return 0, 0, 0, false
	}
	var length [8]byte
	copy(length[8-f.lengthBytes:], data)
	n := binary.BigEndian.Uint64(length[:])
	return 1 + f.lengthBytes, f.size + f.bytesPerUnit*n, f.elementsPerUnit * n, true
}

// format is the layout of a value: a length, and a content whose size or number of elements depends on it.
type format struct {
	lengthBytes                   int
	size                          uint64 // fixed part of the content, bytes
	bytesPerUnit, elementsPerUnit uint64 // of the length
}

var formats = map[byte]format{
	msgpcode.Uint8: {size: 1}, msgpcode.Uint16: {size: 2}, msgpcode.Uint32: {size: 4}, msgpcode.Uint64: {size: 8},
	msgpcode.Int8: {size: 1}, msgpcode.Int16: {size: 2}, msgpcode.Int32: {size: 4}, msgpcode.Int64: {size: 8},
	msgpcode.Float: {size: 4}, msgpcode.Double: {size: 8},
	msgpcode.FixExt1: {size: 2}, msgpcode.FixExt2: {size: 3}, msgpcode.FixExt4: {size: 5}, msgpcode.FixExt8: {size: 9}, msgpcode.FixExt16: {size: 17},
	msgpcode.Bin8: {lengthBytes: 1, bytesPerUnit: 1}, msgpcode.Bin16: {lengthBytes: 2, bytesPerUnit: 1}, msgpcode.Bin32: {lengthBytes: 4, bytesPerUnit: 1},
	msgpcode.Str8: {lengthBytes: 1, bytesPerUnit: 1}, msgpcode.Str16: {lengthBytes: 2, bytesPerUnit: 1}, msgpcode.Str32: {lengthBytes: 4, bytesPerUnit: 1},
	msgpcode.Ext8: {lengthBytes: 1, size: 1, bytesPerUnit: 1}, msgpcode.Ext16: {lengthBytes: 2, size: 1, bytesPerUnit: 1},
	msgpcode.Ext32:   {lengthBytes: 4, size: 1, bytesPerUnit: 1},
	msgpcode.Array16: {lengthBytes: 2, elementsPerUnit: 1}, msgpcode.Array32: {lengthBytes: 4, elementsPerUnit: 1},
	msgpcode.Map16: {lengthBytes: 2, elementsPerUnit: 2}, msgpcode.Map32: {lengthBytes: 4, elementsPerUnit: 2},
}
