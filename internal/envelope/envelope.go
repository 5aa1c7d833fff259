// Package envelope implements the datagram that balancers and agents exchange: a caller's QUIC datagram behind an
// authenticated msgpack header.
//
// The layout is one byte of version, one byte that names the key, an 8-byte SipHash-2-4 tag over the header, the
// header as a msgpack array, and the payload. The tag does not cover the payload, which QUIC protects itself.
package envelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"gentianswitch/internal/class"
	"gentianswitch/internal/keys"
)

// Kind tells what a datagram is for.
type Kind uint8

// The kinds of datagrams.
const (
	// Deliver carries a caller's datagram from a balancer to an agent.
	Deliver Kind = 1
	// Return carries an agent's datagram to a balancer, which sends it to the caller.
	Return Kind = 2
	// HandOn carries a caller's datagram from an agent that takes no new flows to the second candidate.
	HandOn Kind = 3
	// Heartbeat tells an agent that the balancer can carry returns. It has no payload.
	Heartbeat Kind = 4
	// Leave tells an agent that the balancer ends and can carry no more returns. It has no payload.
	Leave Kind = 5
)

// MaxOverhead is an upper bound of the bytes that Seal adds to a payload.
const MaxOverhead = 64

const (
	version      = 1
	tagSize      = 8
	headerOffset = 2 + tagSize
	fieldCount   = 7
	addressSize  = 6
)

// Errors of Open.
var (
	ErrMalformed = eris.New("envelope is malformed")
	ErrKey       = eris.New("envelope names an unknown key")
	ErrTag       = eris.New("envelope fails its authenticator")
)

// Header describes the payload. Addresses are IPv4; the zero AddrPort stands for none.
type Header struct {
	Kind    Kind
	Class   class.Class
	Service uint16
	// Caller is the address from which the caller's datagrams come.
	Caller netip.AddrPort
	// Address is the route's address to which the caller sent, and from which answers must leave.
	Address netip.AddrPort
	// Balancer is the datagram socket of the balancer that delivered.
	Balancer netip.AddrPort
	// Second is the agent that may take the flow when the first one does not.
	Second netip.AddrPort
}

// isComplete reports whether the header has the fields that its kind needs.
func (h *Header) isComplete() bool {
	hasEnds := h.Caller.IsValid() && h.Address.IsValid()
	switch h.Kind {
	case Deliver, HandOn:
		return hasEnds && h.Class.IsValid()
	case Return:
		return hasEnds
	case Heartbeat, Leave:
		return h.Balancer.IsValid()
	default:
		return false
	}
}

// Seal appends the envelope of header and payload, made with the current key of set, to dst.
func Seal(dst []byte, set *keys.Set, header Header, payload []byte) []byte {
	start := len(dst)
	key := set.Current()
	dst = append(dst, version, key.ID)
	dst = binary.BigEndian.AppendUint64(dst, 0)
	dst = appendHeader(dst, header)
	tag := authenticate(key, dst[start+headerOffset:])
	binary.BigEndian.PutUint64(dst[start+2:], tag)
	return append(dst, payload...)
}

// Open checks the envelope in datagram and returns its header and its payload, which aliases datagram.
func Open(set *keys.Set, datagram []byte) (Header, []byte, error) {
	if len(datagram) < headerOffset || datagram[0] != version {
		return Header{}, nil, ErrMalformed
	}
	key := set.Lookup(datagram[1])
	if key == nil {
		return Header{}, nil, ErrKey
	}
	body := datagram[headerOffset:]
	header, payload, err := readHeader(body)
	if err != nil {
		return Header{}, nil, ErrMalformed
	}
	tag := binary.BigEndian.Uint64(datagram[2:])
	if tag != authenticate(key, body[:len(body)-len(payload)]) {
		return Header{}, nil, ErrTag
	}
	if !header.isComplete() {
		return Header{}, nil, ErrMalformed
	}
	return header, payload, nil
}

func authenticate(key *keys.Key, header []byte) uint64 {
	k0 := binary.LittleEndian.Uint64(key.Secret[:8])
	k1 := binary.LittleEndian.Uint64(key.Secret[8:])
	return siphash.Hash(k0, k1, header)
}

func appendHeader(dst []byte, h Header) []byte {
	dst = msgp.AppendArrayHeader(dst, fieldCount)
	dst = msgp.AppendUint8(dst, uint8(h.Kind))
	dst = msgp.AppendUint8(dst, uint8(h.Class))
	dst = msgp.AppendUint16(dst, h.Service)
	dst = appendAddress(dst, h.Caller)
	dst = appendAddress(dst, h.Address)
	dst = appendAddress(dst, h.Balancer)
	return appendAddress(dst, h.Second)
}

func appendAddress(dst []byte, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return msgp.AppendBytes(dst, nil)
	}
	var raw [addressSize]byte
	ip := a.Addr().Unmap().As4()
	copy(raw[:], ip[:])
	binary.BigEndian.PutUint16(raw[4:], a.Port())
	return msgp.AppendBytes(dst, raw[:])
}

type reader struct {
	rest []byte
	err  error
}

func (r *reader) uint8() uint8 {
	if r.err != nil {
		return 0
	}
	var v uint8
	v, r.rest, r.err = msgp.ReadUint8Bytes(r.rest)
	return v
}

func (r *reader) uint16() uint16 {
	if r.err != nil {
		return 0
	}
	var v uint16
	v, r.rest, r.err = msgp.ReadUint16Bytes(r.rest)
	return v
}

func (r *reader) address() netip.AddrPort {
	if r.err != nil {
		return netip.AddrPort{}
	}
	var raw []byte
	raw, r.rest, r.err = msgp.ReadBytesZC(r.rest)
	if r.err != nil || len(raw) == 0 {
		return netip.AddrPort{}
	}
	if len(raw) != addressSize {
		r.err = ErrMalformed
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[:4])), binary.BigEndian.Uint16(raw[4:]))
}

func readHeader(body []byte) (Header, []byte, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(body)
	if err != nil || count != fieldCount {
		return Header{}, nil, ErrMalformed
	}
	r := reader{rest: rest}
	h := Header{
		Kind:     Kind(r.uint8()),
		Class:    class.Class(r.uint8()),
		Service:  r.uint16(),
		Caller:   r.address(),
		Address:  r.address(),
		Balancer: r.address(),
		Second:   r.address(),
	}
	return h, r.rest, r.err
}
