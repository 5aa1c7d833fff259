// Package packet parses the version-independent part of QUIC packet headers (RFC 8999) and the packet type of QUIC
// version 1 (RFC 9000).
package packet

import "github.com/rotisserie/eris"

// Sizes and offsets of header fields, and limits of sizes, in bytes.
const (
	flagsSize     = 1
	versionSize   = 4
	shortIDOffset = flagsSize
	longIDOffset  = flagsSize + versionSize
	maxConnIDSize = 20
	// minInitialSize is the minimum size of a datagram with an Initial packet (RFC 9000, section 14.1).
	minInitialSize = 1200
	// minChosenIDSize is the minimum length of a destination connection ID that a caller chooses (RFC 9000, section 7.2).
	// With shorter IDs, the flows of many callers would also have the same hash.
	minChosenIDSize = 8
)

// Bits of the first byte of a header, and the packet types of version 1.
const (
	longHeaderBit = 0x80
	fixedBit      = 0x40
	typeMask      = 0x30
	typeInitial   = 0x00
	typeZeroRTT   = 0x10
)

// ErrMalformed is the error that Parse returns for bytes that are not a valid QUIC packet.
var ErrMalformed = eris.New("datagram is not a valid QUIC packet")

// Header is the part of a packet header that balancers and agents use.
type Header struct {
	// DestinationID is the destination connection ID. It aliases the datagram.
	DestinationID []byte
	// OpensFlow is true for the packet types that can open a flow, Initial and 0-RTT. The caller may have chosen their
	// destination ID, so that it need not be an ID that an agent issued.
	OpensFlow bool
	// HasShortHeader is true for a short header, which the packets of an established flow have.
	HasShortHeader bool
}

// Parse parses the header of the first packet of a datagram. A short header does not contain the length of its
// destination ID, so the caller passes that length as shortIDSize.
func Parse(datagram []byte, shortIDSize int) (Header, error) {
	if len(datagram) < shortIDOffset+shortIDSize {
		return Header{}, ErrMalformed
	}
	flags := datagram[0]
	if flags&longHeaderBit != 0 {
		return parseLong(datagram)
	}
	if flags&fixedBit == 0 {
		return Header{}, ErrMalformed
	}
	return Header{DestinationID: datagram[shortIDOffset : shortIDOffset+shortIDSize], HasShortHeader: true}, nil
}

func parseLong(datagram []byte) (Header, error) {
	if len(datagram) < longIDOffset+1 {
		return Header{}, ErrMalformed
	}
	size := int(datagram[longIDOffset])
	start := longIDOffset + 1
	if size > maxConnIDSize || len(datagram) < start+size {
		return Header{}, ErrMalformed
	}
	packetType := datagram[0] & typeMask
	opensFlow := packetType == typeInitial || packetType == typeZeroRTT
	if opensFlow && size < minChosenIDSize {
		return Header{}, ErrMalformed
	}
	if packetType == typeInitial && len(datagram) < minInitialSize {
		return Header{}, ErrMalformed
	}
	return Header{DestinationID: datagram[start : start+size], OpensFlow: opensFlow}, nil
}
