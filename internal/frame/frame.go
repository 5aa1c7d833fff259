// Package frame implements the framing of control connections: a 4-byte big-endian length, then one msgpack value.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize is the largest frame body in bytes.
const MaxSize = 4 << 20

const lengthSize = 4

// ErrTooLarge is the error for a frame whose body would exceed MaxSize.
var ErrTooLarge = eris.New("frame is larger than 4 MiB")

// Write encodes value and writes it as one frame.
func Write(w io.Writer, value any) error {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	if len(body) > MaxSize {
		return ErrTooLarge
	}
	out := make([]byte, lengthSize, lengthSize+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	_, err = w.Write(append(out, body...))
	return eris.Wrap(err, "write frame")
}

// Read reads one frame and decodes it into value, a pointer. It returns io.EOF when the stream ends between frames.
func Read(r io.Reader, value any) error {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if err == io.EOF {
			return io.EOF
		}
		return eris.Wrap(err, "read frame length")
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxSize {
		return ErrTooLarge
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return eris.Wrap(err, "read frame body")
	}
	return eris.Wrap(Decode(body, value), "decode frame")
}

// Decode reads one msgpack value from untrusted bytes into value, a pointer. The codec panics when it finds nil in place
// of a struct that decodes itself, such as time.Time; Decode returns an error then.
func Decode(raw []byte, value any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("malformed msgpack: %v", cause)
		}
	}()
	if err := checkShape(raw); err != nil {
		return err
	}
	return eris.Wrap(msgpack.Unmarshal(raw, value), "malformed msgpack")
}

// readBody grows the buffer with the bytes that arrive, so that a length alone claims no memory.
func readBody(r io.Reader, size int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && len(body) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return body, err
}
