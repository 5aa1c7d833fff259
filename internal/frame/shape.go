package frame

import (
	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// Limits of the value in a frame. The decoder allocates arrays by their declared length and recurses into nested values,
// so both are checked before it runs.
const (
	// maxElements is the maximum number of elements of one array, and of pairs of one map.
	maxElements = 1 << 18
	// maxDepth is the maximum number of levels of nesting.
	maxDepth = 32
)

// Errors that checkShape returns.
var (
	errDepth    = eris.Errorf("value has more than %d levels of nesting", maxDepth)
	errElements = eris.Errorf("array or map has more than %d elements", maxElements)
	errTrailing = eris.New("bytes follow the value")
)

// checkShape returns an error unless body is exactly one complete msgpack value within the limits.
func checkShape(body []byte) error {
	rest, err := skipValue(body, 0)
	if err == nil && len(rest) > 0 {
		return errTrailing
	}
	return err
}

// skipValue returns the bytes after the first value of body. depth is the nesting level of that value.
func skipValue(body []byte, depth int) ([]byte, error) {
	if depth > maxDepth {
		return nil, errDepth
	}
	var count uint32
	var err error
	valuesPerElement := uint32(1)
	switch msgp.NextType(body) {
	case msgp.ArrayType:
		count, body, err = msgp.ReadArrayHeaderBytes(body)
	case msgp.MapType:
		count, body, err = msgp.ReadMapHeaderBytes(body)
		valuesPerElement = 2
	default:
		return msgp.Skip(body)
	}
	if count > maxElements {
		return nil, errElements
	}
	for i := uint32(0); i < count*valuesPerElement && err == nil; i++ {
		body, err = skipValue(body, depth+1)
	}
	return body, err
}
