package balancer

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// Sizes of a batch.
const (
	// batchDatagrams is the maximum number of datagrams in a batch.
	batchDatagrams = 32
	// maxDatagram is the maximum size of a caller's datagram in bytes. With the envelope it fits into an Ethernet frame.
	maxDatagram = 1400
	// bufferBytes is the size of the buffer of one datagram: maxDatagram and room for the envelope.
	bufferBytes = 1600
)

// batch is a group of datagrams that is read, processed and written together. Its buffers are reused.
type batch struct {
	messages []ipv4.Message
	buffers  [][]byte
	// pktinfo holds the IP_PKTINFO control message of each datagram, for sockets that serve several local addresses.
	pktinfo   [][]byte
	addresses []net.UDPAddr
	// count is the number of datagrams in the batch. The elements after it are unused.
	count int
	// source is the listener that received the batch or that sends it.
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

// prepareRead resets every message to its whole buffer for a read, with room for the destination address when wantsDestination
// is true.
func (b *batch) prepareRead(wantsDestination bool) {
	for i := range b.messages {
		b.messages[i].Buffers[0] = b.buffers[i]
		b.messages[i].OOB = nil
		if wantsDestination {
			b.messages[i].OOB = b.pktinfo[i]
		}
	}
}

// datagram returns the received content of message i.
func (b *batch) datagram(i int) []byte {
	return b.buffers[i][:b.messages[i].N]
}

// sender returns the source address of the received message i.
func (b *batch) sender(i int) netip.AddrPort {
	udp, ok := b.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := udp.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// nextBuffer returns an empty slice of the buffer for the next datagram to append.
func (b *batch) nextBuffer() []byte {
	return b.buffers[b.count][:0]
}

// appendDatagram appends a datagram for the given receiver. The datagram must have been built in the buffer from nextBuffer.
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

// setSource sets the local address from which the last appended datagram is sent.
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
