package balancer

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Sizes of a batch.
const (
	batchDatagrams = 32
	// maxDatagram is the largest datagram of a caller in bytes. With the envelope it fits an Ethernet frame.
	maxDatagram = 1400
	bufferBytes = 1600
)

// batch is a set of datagrams that passes through the duties as one item. Its buffers are reused.
type batch struct {
	messages []ipv4.Message
	buffers  [][]byte
	// locals hold the control messages of sockets that serve several local addresses.
	pktinfo   [][]byte
	addresses []net.UDPAddr
	// count is the number of datagrams in use.
	count int
	// source is the listener that received the batch, or that must send it.
	source *listener
}

func newBatch() *batch {
	b := &batch{
		messages:  make([]ipv4.Message, batchDatagrams),
		buffers:   make([][]byte, batchDatagrams),
		pktinfo:   make([][]byte, batchDatagrams),
		addresses: make([]net.UDPAddr, batchDatagrams),
	}
	for i := range b.messages {
		b.buffers[i] = make([]byte, bufferBytes)
		b.pktinfo[i] = make([]byte, pktinfoBytes)
		b.addresses[i].IP = make(net.IP, net.IPv4len)
		b.messages[i].Buffers = [][]byte{b.buffers[i]}
		b.messages[i].Addr = &b.addresses[i]
	}
	return b
}

// prepareRead gives every message its whole buffer, and room for the local address when that is asked for.
func (b *batch) prepareRead(wantsDestination bool) {
	for i := range b.messages {
		b.messages[i].Buffers[0] = b.buffers[i]
		b.messages[i].OOB = nil
		if wantsDestination {
			b.messages[i].OOB = b.pktinfo[i]
		}
	}
}

// datagram returns the content of message i after a read.
func (b *batch) datagram(i int) []byte {
	return b.buffers[i][:b.messages[i].N]
}

// sender returns the address from which message i came.
func (b *batch) sender(i int) netip.AddrPort {
	udp, ok := b.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := udp.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// next returns the empty buffer of the next datagram to add.
func (b *batch) nextBuffer() []byte {
	return b.buffers[b.count][:0]
}

// add appends the datagram, which stands in the buffer of next, for the given receiver.
func (b *batch) appendDatagram(datagram []byte, receiver netip.AddrPort) {
	ip := receiver.Addr().As4()
	address := &b.addresses[b.count]
	copy(address.IP, ip[:])
	address.Port = int(receiver.Port())
	b.messages[b.count].Buffers[0] = datagram
	b.messages[b.count].Addr = address
	b.messages[b.count].OOB = nil
	b.count++
}

// setLocal makes the datagram that was added last leave from the given local address.
func (b *batch) setSource(source netip.Addr) {
	last := b.count - 1
	writeSource(b.pktinfo[last], source)
	b.messages[last].OOB = b.pktinfo[last]
}

func (b *batch) isFull() bool {
	return b.count == len(b.messages)
}

func (b *batch) reset() {
	b.count = 0
	b.source = nil
}
