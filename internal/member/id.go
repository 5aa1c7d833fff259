package member

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// id is an IPv4 address and port packed into 48 bits: a compact key for a target or balancer. Zero means no address.
type id uint64

const portBits = 16

// idOf returns the id of an address, and zero when the address isn't a valid IPv4 address.
func idOf(a netip.AddrPort) id {
	if !a.IsValid() || !a.Addr().Unmap().Is4() {
		return 0
	}
	ip := a.Addr().Unmap().As4()
	return id(binary.BigEndian.Uint32(ip[:]))<<portBits | id(a.Port())
}

func (i id) address() netip.AddrPort {
	if i == 0 {
		return netip.AddrPort{}
	}
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(i>>portBits))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(i))
}

// hash returns a uniformly distributed hash of at most five values.
func hash(values ...uint64) uint64 {
	const wordBytes = 8
	var raw [5 * wordBytes]byte
	for i, v := range values {
		binary.LittleEndian.PutUint64(raw[i*wordBytes:], v)
	}
	return xxhash.Sum64(raw[:len(values)*wordBytes])
}
