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
	localBytes       = syscall.CmsgSpace(syscall.SizeofInet4Pktinfo)
	localSource      = syscall.CmsgLen(0) + 4
	localDestination = syscall.CmsgLen(0) + 8
	localTemplate    = (&ipv4.ControlMessage{Src: net.IPv4zero}).Marshal()
)

// readLocal returns the destination that a received control message names.
func readLocal(oob []byte) (netip.Addr, bool) {
	if len(oob) < localBytes {
		return netip.Addr{}, false
	}
	return netip.AddrFrom4([4]byte(oob[localDestination : localDestination+4])), true
}

// writeLocal fills oob with the control message that sends a datagram from the source.
func writeLocal(oob []byte, source netip.Addr) {
	copy(oob, localTemplate)
	ip := source.As4()
	copy(oob[localSource:], ip[:])
}
