// Package packet reads the version-independent part of a QUIC packet header (RFC 8999) and the packet type of
// version 1 (RFC 9000).
package packet

import "github.com/rotisserie/eris"

// Sizes of header fields in bytes.
const (
	flagsSize      = 1
	versionSize    = 4
	shortIDOffset  = flagsSize
	longIDOffset   = flagsSize + versionSize
	maxConnIDSize  = 20
	minInitialSize = 1200
	// minChosenIDSize is the shortest destination ID that a caller may choose (RFC 9000, section 7.2). A shorter one
	// would also give the flows of many callers one hash.
	minChosenIDSize = 8
)

// Bits of the first byte.
const (
	longHeaderBit = 0x80
	fixedBit      = 0x40
	typeMask      = 0x30
	typeInitial   = 0x00
	typeZeroRTT   = 0x10
)

// ErrMalformed is the error of Parse for bytes that are not a QUIC packet.
var ErrMalformed = eris.New("datagram is not a QUIC packet")

// Header is what a balancer needs of a packet.
type Header struct {
	// DestinationID aliases the datagram.
	DestinationID []byte
	// OpensFlow is true for packets whose connection ID the caller may have chosen: Initial and 0-RTT.
	OpensFlow bool
	// IsShort is true for a short header, which packets of an established flow have.
	IsShort bool
}

// Parse reads the header of the first packet of a datagram. The destination ID of a short header is taken to be
// shortIDSize bytes long.
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
	return Header{DestinationID: datagram[shortIDOffset : shortIDOffset+shortIDSize], IsShort: true}, nil
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
	kind := datagram[0] & typeMask
	opens := kind == typeInitial || kind == typeZeroRTT
	if opens && size < minChosenIDSize {
		return Header{}, ErrMalformed
	}
	if kind == typeInitial && len(datagram) < minInitialSize {
		return Header{}, ErrMalformed
	}
	return Header{DestinationID: datagram[start : start+size], OpensFlow: opens}, nil
}
