//go:build review

// Command harness-2 runs the scripts of the second review: the project's own programs as separate processes beside small stand-ins of the
// platform, which follow the users' pages.
package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Layout and flags of a packet, as PROTOCOL.md and `fleetbench wire` give them.
const (
	headBytes   = 32
	flagFIN     = 2
	flagSYN     = 4
	flagBounced = 8
	flagACK     = 32
	flagRST     = 64

	// resetWindow is the distance from the last ack of a client within which it takes a reset of the system.
	resetWindow = 76_800
)

type packet struct {
	flags              byte
	seq, ack, sum      uint32
	src, dst           netip.AddrPort
	data               []byte
	isSumValid, isZero bool
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// isSYN reports whether the packet opens a flow.
func (p *packet) isSYN() bool { return p.has(flagSYN) && !p.has(flagACK) }

func putIP(raw []byte, a netip.Addr) {
	ip := a.As4()
	for i := range 4 {
		raw[i] = ip[3-i]
	}
}

func getIP(raw []byte) netip.Addr { return netip.AddrFrom4([4]byte{raw[3], raw[2], raw[1], raw[0]}) }

// sumOf returns the keyed sum of a packet: it covers all fields but echo, pad and BOUNCED.
func sumOf(raw []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("the ends' own key"))
	_, _ = h.Write([]byte{raw[0] &^ flagBounced})
	_, _ = h.Write(raw[2:4])
	_, _ = h.Write(raw[8:16])
	_, _ = h.Write(raw[20:])
	return h.Sum32() | 1
}

func (p *packet) encode() []byte {
	raw := make([]byte, headBytes, headBytes+len(p.data))
	raw[0] = p.flags
	binary.LittleEndian.PutUint16(raw[2:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(raw[8:], p.seq)
	binary.LittleEndian.PutUint32(raw[12:], p.ack)
	binary.LittleEndian.PutUint16(raw[20:], p.dst.Port())
	putIP(raw[22:], p.src.Addr())
	binary.LittleEndian.PutUint16(raw[26:], p.src.Port())
	putIP(raw[28:], p.dst.Addr())
	raw = append(raw, p.data...)
	binary.LittleEndian.PutUint32(raw[16:], sumOf(raw))
	return raw
}

var errShort = errors.New("short packet")

func decode(raw []byte) (packet, error) {
	if len(raw) < headBytes || int(binary.LittleEndian.Uint16(raw[2:])) != len(raw)-headBytes {
		return packet{}, errShort
	}
	p := packet{
		flags: raw[0], seq: binary.LittleEndian.Uint32(raw[8:]), ack: binary.LittleEndian.Uint32(raw[12:]),
		sum: binary.LittleEndian.Uint32(raw[16:]),
		src: netip.AddrPortFrom(getIP(raw[22:]), binary.LittleEndian.Uint16(raw[26:])),
		dst: netip.AddrPortFrom(getIP(raw[28:]), binary.LittleEndian.Uint16(raw[20:])), data: raw[headBytes:],
	}
	p.isSumValid, p.isZero = p.sum == sumOf(raw), p.sum == 0
	return p, nil
}
