// Package frame implements the framing of control connections. A frame is a 4-byte big-endian length followed by one
// msgpack value.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxSize is the maximum size of a frame body in bytes.
const MaxSize = 4 << 20

const lengthSize = 4

// ErrTooLarge is the error that Write and Read return for a frame whose body would exceed MaxSize.
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

// Decode decodes one msgpack value from untrusted bytes into value, a pointer. The msgpack library panics on nil in place
// of a type with its own decoder, such as time.Time. Decode recovers from the panic and returns an error.
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

// readBody reads size bytes. Its buffer grows with the bytes received, so that a peer that only sends a large length does
// not make this process allocate memory.
func readBody(r io.Reader, size int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && len(body) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return body, err
}
