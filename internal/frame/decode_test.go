package frame

import (
	"bytes"
	"testing"
	"time"
)

type timeMessage struct {
	At time.Time `msgpack:"at"`
}

// The msgpack library panics on nil in place of a time.Time. A malformed frame of a peer must not end the process.
func TestNilInPlaceOfATimeIsAnError(t *testing.T) {
	body := []byte("\x81\xa2at\xc0")
	raw := append([]byte{0, 0, 0, byte(len(body))}, body...)
	var value timeMessage
	if err := Read(bytes.NewReader(raw), &value); err == nil {
		t.Fatal("got no error for nil in place of a time")
	}
}
