// Package envelope implements the datagrams that balancers and agents exchange. An envelope consists of an authenticated
// msgpack header and a payload. The payload is a QUIC datagram between a caller and an agent, or empty.
//
// The layout is one byte for the version, one byte that identifies the key, an 8-byte SipHash-2-4 tag over the header,
// the header as a msgpack array, and the payload. The tag does not cover the payload, because QUIC protects it.
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

// Kind is the purpose of a datagram.
type Kind uint8

const (
	// Deliver carries a caller's datagram from a balancer to an agent.
	Deliver Kind = 1
	// Return carries a datagram from an agent to a balancer, which sends it to the caller.
	Return Kind = 2
	// Redirect carries a caller's datagram from an agent that does not accept the flow to the second candidate.
	Redirect Kind = 3
	// Heartbeat announces to an agent that the balancer accepts Return datagrams. It has no payload.
	Heartbeat Kind = 4
	// Leave announces to an agent that the balancer shuts down and accepts no more Return datagrams. It has no payload.
	Leave Kind = 5
)

// MaxOverhead is an upper bound for the number of bytes that Seal adds to a payload.
const MaxOverhead = 64

const (
	version      = 1
	tagSize      = 8
	headerOffset = 2 + tagSize
	fieldCount   = 7
	addressSize  = 6
)

// Errors that Open returns.
var (
	ErrMalformed = eris.New("envelope is malformed")
	ErrKey       = eris.New("envelope was made with an unknown key")
	ErrTag       = eris.New("envelope has an invalid authentication tag")
)

// Header describes the payload. Addresses are IPv4. The zero AddrPort means that there is none.
type Header struct {
	Kind Kind
	// Class and Service are those of the route. Deliver and Redirect envelopes carry them.
	Class   class.Class
	Service uint16
	// Caller is the source address of the caller's datagrams.
	Caller netip.AddrPort
	// Address is the address of the route: the destination of the caller's datagrams and the source of the answers.
	Address netip.AddrPort
	// Balancer is the address of the datagram socket of the balancer that sent the datagram to the first agent.
	Balancer netip.AddrPort
	// SecondCandidate is the agent that may accept the flow when the first candidate does not.
	SecondCandidate netip.AddrPort
}

// hasRequiredFields reports whether the header has the fields that its kind requires.
func (h *Header) hasRequiredFields() bool {
	hasAddresses := h.Caller.IsValid() && h.Address.IsValid()
	switch h.Kind {
	case Deliver, Redirect:
		return hasAddresses && h.Class.IsValid()
	case Return:
		return hasAddresses
	case Heartbeat, Leave:
		return h.Balancer.IsValid()
	default:
		return false
	}
}

// Seal appends an envelope with the given header and payload to dst. It authenticates the header with the current key of
// set.
func Seal(dst []byte, set *keys.Set, header Header, payload []byte) []byte {
	start := len(dst)
	key := set.Current()
	dst = append(dst, version, key.ID)
	dst = binary.BigEndian.AppendUint64(dst, 0)
	dst = appendHeader(dst, header)
	tag := computeTag(key, dst[start+headerOffset:])
	binary.BigEndian.PutUint64(dst[start+2:], tag)
	return append(dst, payload...)
}

// Open verifies the envelope in datagram and returns its header and payload. The payload aliases datagram.
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
	if tag != computeTag(key, body[:len(body)-len(payload)]) {
		return Header{}, nil, ErrTag
	}
	if !header.hasRequiredFields() {
		return Header{}, nil, ErrMalformed
	}
	return header, payload, nil
}

// computeTag returns the authentication tag of an encoded header.
func computeTag(key *keys.Key, header []byte) uint64 {
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
	return appendAddress(dst, h.SecondCandidate)
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

// headerReader decodes the fields of a header one after the other. After the first error it returns zero values.
type headerReader struct {
	rest []byte
	err  error
}

func (r *headerReader) uint8() uint8 {
	if r.err != nil {
		return 0
	}
	var v uint8
	v, r.rest, r.err = msgp.ReadUint8Bytes(r.rest)
	return v
}

func (r *headerReader) uint16() uint16 {
	if r.err != nil {
		return 0
	}
	var v uint16
	v, r.rest, r.err = msgp.ReadUint16Bytes(r.rest)
	return v
}

func (r *headerReader) address() netip.AddrPort {
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

// readHeader decodes the header at the start of body and returns it and the bytes after it.
func readHeader(body []byte) (Header, []byte, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(body)
	if err != nil || count != fieldCount {
		return Header{}, nil, ErrMalformed
	}
	r := headerReader{rest: rest}
	h := Header{
		Kind:            Kind(r.uint8()),
		Class:           class.Class(r.uint8()),
		Service:         r.uint16(),
		Caller:          r.address(),
		Address:         r.address(),
		Balancer:        r.address(),
		SecondCandidate: r.address(),
	}
	return h, r.rest, r.err
}
