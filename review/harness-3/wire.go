//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags and size of the header of a packet.
const (
	flagFinish  = 2
	flagOpen    = 4
	flagBounced = 8
	flagAck     = 32
	flagReset   = 64

	headerBytes = 32
)

// resetWindow is the distance in bytes from its last acknowledgement within which a client takes a reset of an open flow.
const resetWindow = 76_800

// sumKey is the key of the sums of this run's packets. The programs under test do not know it.
var sumKey = []byte("a key of the clients and the servers")

type packet struct {
	flags         byte
	seq, ack, sum uint32
	src, dst      netip.AddrPort
	payload       []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// isOpening reports whether the packet is a SYN.
func (p *packet) isOpening() bool { return p.has(flagOpen) && !p.has(flagAck) }

func readAddress(raw []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{raw[3], raw[2], raw[1], raw[0]})
}

func decode(raw []byte) (packet, bool) {
	if len(raw) < headerBytes || int(binary.LittleEndian.Uint16(raw[2:])) != len(raw)-headerBytes {
		return packet{}, false
	}
	return packet{
		flags: raw[0], seq: binary.LittleEndian.Uint32(raw[8:]), ack: binary.LittleEndian.Uint32(raw[12:]),
		sum:     binary.LittleEndian.Uint32(raw[16:]),
		src:     netip.AddrPortFrom(readAddress(raw[22:]), binary.LittleEndian.Uint16(raw[26:])),
		dst:     netip.AddrPortFrom(readAddress(raw[28:]), binary.LittleEndian.Uint16(raw[20:])),
		payload: raw[headerBytes:],
	}, true
}

// encode returns the packet with its sum.
func (p *packet) encode() []byte {
	raw := make([]byte, headerBytes, headerBytes+len(p.payload))
	raw[0] = p.flags
	binary.LittleEndian.PutUint16(raw[2:], uint16(len(p.payload)))
	binary.LittleEndian.PutUint32(raw[8:], p.seq)
	binary.LittleEndian.PutUint32(raw[12:], p.ack)
	binary.LittleEndian.PutUint16(raw[20:], p.dst.Port())
	binary.LittleEndian.PutUint16(raw[26:], p.src.Port())
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	for i := range 4 {
		raw[22+i], raw[28+i] = src[3-i], dst[3-i]
	}
	raw = append(raw, p.payload...)
	binary.LittleEndian.PutUint32(raw[16:], sumOf(raw))
	return raw
}

// sumOf returns the keyed sum over all fields but echo, pad, the flag BOUNCED and the sum itself.
func sumOf(raw []byte) uint32 {
	covered := append([]byte(nil), raw...)
	covered[0] &^= flagBounced
	covered[1] = 0
	clear(covered[4:8])
	clear(covered[16:20])
	return crc32.ChecksumIEEE(append(covered, sumKey...)) | 1
}

// isGenuine reports whether the sum of a packet is right, so that one of the two ends of the flow has written it.
func isGenuine(raw []byte) bool { return binary.LittleEndian.Uint32(raw[16:]) == sumOf(raw) }
