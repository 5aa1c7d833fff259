// Package flow defines opaque flows: connections between a caller and a target whose packets gentianswitch forwards without
// changing their contents. A flow is identified by its two endpoints alone.
package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetime is the age from which the users' platform permits a flow to be discarded.
const Lifetime = time.Minute

// ResetWindow is the distance in bytes from its last acknowledgement within which the caller of an open flow accepts a reset.
const ResetWindow = 76_800

// Endpoint is an IPv4 address and port. It is a small comparable value, since two are read from every packet.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// AddrPort returns the endpoint as a netip value.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// String returns the endpoint as ip:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// ID identifies a flow.
type ID struct {
	// Caller is the endpoint of the caller.
	Caller Endpoint
	// Address is the endpoint that the caller connects to: the address and port of a route.
	Address Endpoint
}

// idSize is the size of an encoded ID.
const idSize = 12

// Hash returns a hash of the flow that is the same in every process.
func (id ID) Hash() uint64 {
	var raw [idSize]byte
	id.encode(raw[:])
	return xxhash.Sum64(raw[:])
}

func (id ID) encode(raw []byte) {
	copy(raw[0:4], id.Caller.IP[:])
	binary.BigEndian.PutUint16(raw[4:6], id.Caller.Port)
	copy(raw[6:10], id.Address.IP[:])
	binary.BigEndian.PutUint16(raw[10:12], id.Address.Port)
}

// AppendTo appends the encoded ID to raw.
func (id ID) AppendTo(raw []byte) []byte {
	var encoded [idSize]byte
	id.encode(encoded[:])
	return append(raw, encoded[:]...)
}

// DecodeID decodes an ID that AppendTo has encoded. It reports false when raw has the wrong size.
func DecodeID(raw []byte) (ID, bool) {
	if len(raw) != idSize {
		return ID{}, false
	}
	var id ID
	copy(id.Caller.IP[:], raw[0:4])
	id.Caller.Port = binary.BigEndian.Uint16(raw[4:6])
	copy(id.Address.IP[:], raw[6:10])
	id.Address.Port = binary.BigEndian.Uint16(raw[10:12])
	return id, true
}

// String returns the flow as caller>address, as logs show it.
func (id ID) String() string {
	return id.Caller.String() + ">" + id.Address.String()
}

// Opening distinguishes a flow from earlier and later ones with the same ID: callers use their ports again. All copies of an opening
// packet have its sequence number.
type Opening struct {
	// Sequence is the sequence number of the opening packet. It has no meaning unless IsKnown is set.
	Sequence uint32
	IsKnown  bool
}

// openingSize is the size of an encoded Opening.
const openingSize = 4

// AppendLocation appends the encoded ID of a flow and, if it is known, the flow's opening to raw.
func AppendLocation(raw []byte, id ID, opening Opening) []byte {
	raw = id.AppendTo(raw)
	if opening.IsKnown {
		raw = binary.BigEndian.AppendUint32(raw, opening.Sequence)
	}
	return raw
}

// DecodeLocation decodes what AppendLocation has encoded. It reports false when raw has the wrong size.
func DecodeLocation(raw []byte) (ID, Opening, bool) {
	if len(raw) != idSize+openingSize {
		id, ok := DecodeID(raw)
		return id, Opening{}, ok
	}
	id, ok := DecodeID(raw[:idSize])
	return id, Opening{Sequence: binary.BigEndian.Uint32(raw[idSize:]), IsKnown: true}, ok
}

// Packet holds the fields that gentianswitch reads from a packet of a flow.
type Packet struct {
	Source, Destination Endpoint
	// Opens is set in an opening packet: one with which a caller opens a flow, like a TCP SYN.
	Opens bool
	// Accepts is set in a packet with which a target accepts a flow.
	Accepts bool
	// Resets is set in a packet that ends the flow at once.
	Resets bool
	// Finishes is set in a packet after which its sender sends no more data.
	Finishes bool
	// IsBounced is set in a caller's packet that the target has returned to its agent because it does not hold the flow.
	IsBounced bool
	// Retransmissions counts the earlier copies of an opening packet.
	Retransmissions uint32
	// Sequence is the sequence number of the first byte of data.
	Sequence uint32
	// Acknowledged is the sequence number up to which the sender has received data. It has no meaning in an opening packet.
	Acknowledged uint32
	// Mark is the value that the agent wrote with Codec.SetMark before the target bounced the packet.
	Mark uint32
	// Payload is the number of data bytes.
	Payload int
}

// End returns the sequence number that follows the data.
func (p *Packet) End() uint32 { return p.Sequence + uint32(p.Payload) }

// Opening returns the opening of the flow that an opening packet opens.
func (p *Packet) Opening() Opening { return Opening{Sequence: p.Sequence, IsKnown: true} }

// IDFromCaller returns the ID of the flow of a packet that a caller sent.
func (p *Packet) IDFromCaller() ID { return ID{Caller: p.Source, Address: p.Destination} }

// IDFromTarget returns the ID of the flow of a packet that a target sent.
func (p *Packet) IDFromTarget() ID { return ID{Caller: p.Destination, Address: p.Source} }

// Codec decodes the datagrams of the users' platform, marks them and builds resets.
type Codec interface {
	// Decode decodes the header of a datagram. It returns an error when the datagram is not a packet of a flow.
	Decode(datagram []byte) (Packet, error)
	// SetMark writes a value that the target returns with the packet if it bounces it.
	SetMark(datagram []byte, mark uint32)
	// ClearMarks removes the marks that gentianswitch and a bounce have added, including the value of SetMark, so that the packet
	// is as its caller sent it.
	ClearMarks(datagram []byte)
	// AppendReset appends a packet that resets the flow at its caller. The sequence number must be one that the caller
	// accepts.
	AppendReset(raw []byte, id ID, sequence uint32) []byte
}
