// Package flow defines opaque flows: conversations between a caller and a target whose packets gentianswitch carries and
// cannot change. A flow is known by its two ends alone.
package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetime is the age at which the users' platform lets a flow be discarded.
const Lifetime = time.Minute

// Endpoint is an IPv4 address and port. It is comparable and small, since one is read from every packet.
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
	// Caller is the caller's end.
	Caller Endpoint
	// Address is the end that the caller speaks to: the address and port of a route.
	Address Endpoint
}

// idBytes is the size of an encoded ID.
const idBytes = 12

// Hash returns a hash of the flow that is the same in all programs.
func (id ID) Hash() uint64 {
	var raw [idBytes]byte
	id.put(raw[:])
	return xxhash.Sum64(raw[:])
}

func (id ID) put(raw []byte) {
	copy(raw[0:4], id.Caller.IP[:])
	binary.BigEndian.PutUint16(raw[4:6], id.Caller.Port)
	copy(raw[6:10], id.Address.IP[:])
	binary.BigEndian.PutUint16(raw[10:12], id.Address.Port)
}

// AppendTo appends the encoded ID to raw.
func (id ID) AppendTo(raw []byte) []byte {
	var encoded [idBytes]byte
	id.put(encoded[:])
	return append(raw, encoded[:]...)
}

// DecodeID reads what AppendTo wrote. It reports false when raw has another size.
func DecodeID(raw []byte) (ID, bool) {
	if len(raw) != idBytes {
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

// Packet is what gentianswitch reads of one packet of a flow.
type Packet struct {
	Source, Destination Endpoint
	// Opens is set in a packet with which a caller opens a flow.
	Opens bool
	// Accepts is set in the packet with which a target accepts a flow.
	Accepts bool
	// Resets is set in a packet that ends the flow at once.
	Resets bool
	// Finishes is set in a packet after which its sender sends no more data.
	Finishes bool
	// IsBounced is set in a caller's packet that the target gave back, since it does not hold the flow.
	IsBounced bool
	// Retransmissions counts the earlier copies of a packet that opens a flow.
	Retransmissions uint32
	// Sequence is the sequence number of the first byte of data.
	Sequence uint32
	// Acknowledged is the sequence number up to which the sender has received, except in a packet that opens a flow.
	Acknowledged uint32
	// Mark is the value that the sidecar gave to SetMark before the target bounced the packet.
	Mark uint32
	// Payload is the number of bytes of data.
	Payload int
}

// End returns the sequence number after the data.
func (p *Packet) End() uint32 { return p.Sequence + uint32(p.Payload) }

// IDFromCaller returns the flow of a packet that a caller sent.
func (p *Packet) IDFromCaller() ID { return ID{Caller: p.Source, Address: p.Destination} }

// IDFromTarget returns the flow of a packet that a target sent.
func (p *Packet) IDFromTarget() ID { return ID{Caller: p.Destination, Address: p.Source} }

// Codec reads and marks datagrams of the platform.
type Codec interface {
	// Decode reads the head of a datagram. It returns an error for a datagram that is no packet of a flow.
	Decode(datagram []byte) (Packet, error)
	// SetMark writes a value that a target gives back with a bounced packet.
	SetMark(datagram []byte, mark uint32)
	// ClearMarks removes the marks of the system and of the bounce, so that the packet is as its caller sent it.
	ClearMarks(datagram []byte)
	// AppendReset appends the packet that tells a caller that its flow has ended. The sequence number is one that the
	// caller accepts.
	AppendReset(raw []byte, id ID, sequence uint32) []byte
}
