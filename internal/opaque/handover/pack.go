package handover

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/store"
)

// ErrTooLarge means that a packed value is larger, once unpacked, than store.MaxValueSize.
var ErrTooLarge = eris.New("unpacked value is larger than 1 MiB")

// Pack compresses a value of the store, since the links between balancers may be narrow.
func Pack(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "pack value")
	}
	if _, err := w.Write(value); err != nil {
		return nil, eris.Wrap(err, "pack value")
	}
	err = w.Close()
	return packed.Bytes(), eris.Wrap(err, "pack value")
}

// Unpack decompresses a value that Pack has compressed. It returns ErrTooLarge for a value larger than store.MaxValueSize.
func Unpack(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), store.MaxValueSize+1))
	switch {
	case err != nil:
		return nil, eris.Wrap(err, "unpack value")
	case len(value) > store.MaxValueSize:
		return nil, ErrTooLarge
	default:
		return value, nil
	}
}
