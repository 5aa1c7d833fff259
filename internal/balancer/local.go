package balancer

import (
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
)

// Layout of the control message IP_PKTINFO, which carries the local address of a datagram on a socket that is bound to every
// address of the VM: a header, then the interface index, the local address and the destination address, 4 bytes each.
var (
	pktinfoBytes             = syscall.CmsgSpace(syscall.SizeofInet4Pktinfo)
	pktinfoSourceOffset      = syscall.CmsgLen(0) + 4
	pktinfoDestinationOffset = syscall.CmsgLen(0) + 8
	pktinfoTemplate          = (&ipv4.ControlMessage{Src: net.IPv4zero}).Marshal()
)

// readDestination returns the destination address in a received control message. It returns false when there is none.
func readDestination(oob []byte) (netip.Addr, bool) {
	if len(oob) < pktinfoBytes {
		return netip.Addr{}, false
	}
	return netip.AddrFrom4([4]byte(oob[pktinfoDestinationOffset : pktinfoDestinationOffset+4])), true
}

// writeSource fills oob with the control message that makes the kernel send a datagram from the given source address.
func writeSource(oob []byte, source netip.Addr) {
	copy(oob, pktinfoTemplate)
	ip := source.As4()
	copy(oob[pktinfoSourceOffset:], ip[:])
}
