package packet_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/packet"
)

const shortIDSize = 17

// long returns a long-header packet of version 1 with the given first byte and destination ID, of size bytes.
func long(first byte, id []byte, size int) []byte {
	p := append([]byte{first, 0, 0, 0, 1, byte(len(id))}, id...)
	if len(p) < size {
		p = append(p, make([]byte, size-len(p))...)
	}
	return p
}

func TestParse(t *testing.T) {
	id := bytes.Repeat([]byte{7}, shortIDSize)
	tests := []struct {
		name     string
		datagram []byte
		id       []byte
		opens    bool
		isBad    bool
	}{
		{name: "initial", datagram: long(0xc0, id[:8], 1200), id: id[:8], opens: true},
		{name: "initial with the longest ID", datagram: long(0xc0, bytes.Repeat(id, 2)[:20], 1200), id: bytes.Repeat(id, 2)[:20], opens: true},
		{name: "0-RTT", datagram: long(0xd0, id[:8], 100), id: id[:8], opens: true},
		{name: "handshake", datagram: long(0xe0, id, 100), id: id},
		{name: "short header", datagram: append([]byte{0x40}, id...), id: id},
		{name: "initial below 1200 bytes", datagram: long(0xc0, id[:8], 1199), isBad: true},
		{name: "initial with an ID below 8 bytes", datagram: long(0xc0, id[:7], 1200), isBad: true},
		{name: "0-RTT without an ID", datagram: long(0xd0, nil, 100), isBad: true},
		{name: "ID above 20 bytes", datagram: long(0xe0, bytes.Repeat(id, 2)[:21], 100), isBad: true},
		{name: "ID beyond the end", datagram: append([]byte{0xe0, 0, 0, 0, 1, 20}, id[:12]...), isBad: true},
		{name: "short header without the fixed bit", datagram: append([]byte{0x00}, id...), isBad: true},
		{name: "short header truncated", datagram: append([]byte{0x40}, id[:16]...), isBad: true},
		{name: "empty", isBad: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, err := packet.Parse(test.datagram, shortIDSize)
			if (err != nil) != test.isBad {
				t.Fatalf("error %v, expected one: %v", err, test.isBad)
			}
			if !bytes.Equal(h.DestinationID, test.id) || h.OpensFlow != test.opens {
				t.Errorf("got %x opens %v, expected %x opens %v", h.DestinationID, h.OpensFlow, test.id, test.opens)
			}
		})
	}
}

func TestEveryTruncationOfALongHeaderIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "id")
		whole := long(rapid.ByteMin(0x80).Draw(t, "first"), id, 1200)
		cut := whole[:rapid.IntRange(0, len(whole)).Draw(t, "length")]
		if h, err := packet.Parse(cut, shortIDSize); err == nil && !bytes.Equal(h.DestinationID, id) {
			t.Fatalf("truncated packet gave ID %x, expected %x", h.DestinationID, id)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(long(0xc0, make([]byte, 8), 1200))
	f.Add(long(0xe0, make([]byte, shortIDSize), 64))
	f.Add(append([]byte{0x40}, make([]byte, shortIDSize)...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, err := packet.Parse(datagram, shortIDSize)
		if err != nil {
			return
		}
		if len(h.DestinationID) > 20 || (h.OpensFlow && len(h.DestinationID) < 8) {
			t.Errorf("accepted an ID of %d bytes, opens %v", len(h.DestinationID), h.OpensFlow)
		}
	})
}
