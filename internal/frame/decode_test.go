package frame

import (
	"bytes"
	"testing"
	"time"
)

type sample struct {
	At time.Time `msgpack:"at"`
}

func TestNilInPlaceOfATimeIsAnError(t *testing.T) {
	body := []byte("\x81\xa2at\xc0")
	raw := append([]byte{0, 0, 0, byte(len(body))}, body...)
	var value sample
	if err := Read(bytes.NewReader(raw), &value); err == nil {
		t.Fatal("no error")
	}
}
