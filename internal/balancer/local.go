package balancer

import (
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
)

// A socket that is bound to every address of the VM learns and sets a datagram's local address by the control message
// IP_PKTINFO: a header, then the interface index, the local address and the destination, 4 bytes each.
var (
	pktinfoBytes             = syscall.CmsgSpace(syscall.SizeofInet4Pktinfo)
	pktinfoSourceOffset      = syscall.CmsgLen(0) + 4
	pktinfoDestinationOffset = syscall.CmsgLen(0) + 8
	pktinfoTemplate          = (&ipv4.ControlMessage{Src: net.IPv4zero}).Marshal()
)

// readLocal returns the destination that a received control message names.
func readDestination(oob []byte) (netip.Addr, bool) {
	if len(oob) < pktinfoBytes {
		return netip.Addr{}, false
	}
	return netip.AddrFrom4([4]byte(oob[pktinfoDestinationOffset : pktinfoDestinationOffset+4])), true
}

// writeLocal fills oob with the control message that sends a datagram from the source.
func writeSource(oob []byte, source netip.Addr) {
	copy(oob, pktinfoTemplate)
	ip := source.As4()
	copy(oob[pktinfoSourceOffset:], ip[:])
}
