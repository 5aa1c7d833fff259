package packet_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/packet"
)

const shortIDSize = 17

// longHeaderPacket returns a long-header packet of version 1 with the given first byte and destination ID, padded to size
// bytes.
func longHeaderPacket(first byte, id []byte, size int) []byte {
	p := append([]byte{first, 0, 0, 0, 1, byte(len(id))}, id...)
	if len(p) < size {
		p = append(p, make([]byte, size-len(p))...)
	}
	return p
}

func TestParse(t *testing.T) {
	id := bytes.Repeat([]byte{7}, shortIDSize)
	tests := []struct {
		name        string
		datagram    []byte
		id          []byte
		opensFlow   bool
		isMalformed bool
	}{
		{name: "initial", datagram: longHeaderPacket(0xc0, id[:8], 1200), id: id[:8], opensFlow: true},
		{name: "initial with the longest ID", datagram: longHeaderPacket(0xc0, bytes.Repeat(id, 2)[:20], 1200), id: bytes.Repeat(id, 2)[:20], opensFlow: true},
		{name: "0-RTT", datagram: longHeaderPacket(0xd0, id[:8], 100), id: id[:8], opensFlow: true},
		{name: "handshake", datagram: longHeaderPacket(0xe0, id, 100), id: id},
		{name: "short header", datagram: append([]byte{0x40}, id...), id: id},
		{name: "initial below 1200 bytes", datagram: longHeaderPacket(0xc0, id[:8], 1199), isMalformed: true},
		{name: "initial with an ID below 8 bytes", datagram: longHeaderPacket(0xc0, id[:7], 1200), isMalformed: true},
		{name: "0-RTT without an ID", datagram: longHeaderPacket(0xd0, nil, 100), isMalformed: true},
		{name: "ID above 20 bytes", datagram: longHeaderPacket(0xe0, bytes.Repeat(id, 2)[:21], 100), isMalformed: true},
		{name: "ID beyond the end", datagram: append([]byte{0xe0, 0, 0, 0, 1, 20}, id[:12]...), isMalformed: true},
		{name: "short header without the fixed bit", datagram: append([]byte{0x00}, id...), isMalformed: true},
		{name: "short header truncated", datagram: append([]byte{0x40}, id[:16]...), isMalformed: true},
		{name: "empty", isMalformed: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h, err := packet.Parse(test.datagram, shortIDSize)
			if (err != nil) != test.isMalformed {
				t.Fatalf("got error %v, expected an error: %v", err, test.isMalformed)
			}
			if !bytes.Equal(h.DestinationID, test.id) || h.OpensFlow != test.opensFlow {
				t.Errorf("got ID %x, opens flow %v; expected ID %x, opens flow %v", h.DestinationID, h.OpensFlow, test.id, test.opensFlow)
			}
		})
	}
}

func TestTruncatedLongHeaderIsRejectedOrKeepsItsID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "id")
		whole := longHeaderPacket(rapid.ByteMin(0x80).Draw(t, "first"), id, 1200)
		cut := whole[:rapid.IntRange(0, len(whole)).Draw(t, "length")]
		if h, err := packet.Parse(cut, shortIDSize); err == nil && !bytes.Equal(h.DestinationID, id) {
			t.Fatalf("truncated packet has ID %x, expected %x", h.DestinationID, id)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(longHeaderPacket(0xc0, make([]byte, 8), 1200))
	f.Add(longHeaderPacket(0xe0, make([]byte, shortIDSize), 64))
	f.Add(append([]byte{0x40}, make([]byte, shortIDSize)...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		h, err := packet.Parse(datagram, shortIDSize)
		if err != nil {
			return
		}
		if len(h.DestinationID) > 20 || (h.OpensFlow && len(h.DestinationID) < 8) {
			t.Errorf("accepted an ID of %d bytes, opens flow %v", len(h.DestinationID), h.OpensFlow)
		}
	})
}
