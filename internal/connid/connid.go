// Package connid implements the QUIC connection IDs that agents issue and balancers decode.
//
// An ID is one byte that names the key and one AES block that holds the address of the agent, the service,
// the incarnation of the agent, the class of work, a nonce and a check field. A balancer that holds the key
// needs no other state to forward a datagram of an open flow.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
	"gentianswitch/internal/keys"
)

// Size is the length of a connection ID in bytes.
const Size = 1 + aes.BlockSize

// MaxNonce is the largest nonce that an ID can carry.
const MaxNonce = 1<<nonceBits - 1

const nonceBits = 30

// Offsets in the plain block.
const (
	offsetIP          = 0
	offsetPort        = 4
	offsetService     = 6
	offsetIncarnation = 8
	offsetNonce       = 10
	offsetCheck       = 14
)

// Errors of Decode.
var (
	ErrSize  = eris.New("connection ID has another size than those of agents")
	ErrKey   = eris.New("connection ID names an unknown key")
	ErrCheck = eris.New("connection ID fails its check field")
)

// ID is the content of a connection ID.
type ID struct {
	// Agent is the IPv4 address and port of the agent's datagram socket.
	Agent netip.AddrPort
	// Service is the number of the service that the agent serves.
	Service uint16
	// Incarnation holds the low 16 bits of the agent's incarnation.
	Incarnation uint16
	// Class is the class of the route on which the flow was opened.
	Class class.Class
	// Nonce makes the IDs of one agent distinct, 0 to MaxNonce.
	Nonce uint32
}

// Codec encodes and decodes connection IDs. It is immutable and safe for concurrent use.
type Codec struct {
	current uint8
	blocks  [256]cipher.Block
}

// NewCodec returns a codec that decodes with every key of the set and encodes with its current key.
func NewCodec(set *keys.Set) (*Codec, error) {
	c := &Codec{current: set.Current().ID}
	for _, k := range set.All() {
		block, err := aes.NewCipher(k.Secret[:])
		if err != nil {
			return nil, eris.Wrapf(err, "cipher of key id %d", k.ID)
		}
		c.blocks[k.ID] = block
	}
	return c, nil
}

// Encode returns the connection ID for id, made with the current key.
func (c *Codec) Encode(id ID) [Size]byte {
	var out [Size]byte
	block := out[1:]
	ip := id.Agent.Addr().As4()
	copy(block[offsetIP:], ip[:])
	binary.BigEndian.PutUint16(block[offsetPort:], id.Agent.Port())
	binary.BigEndian.PutUint16(block[offsetService:], id.Service)
	binary.BigEndian.PutUint16(block[offsetIncarnation:], id.Incarnation)
	nonce := uint32(id.Class)<<nonceBits | id.Nonce&MaxNonce
	binary.BigEndian.PutUint32(block[offsetNonce:], nonce)
	out[0] = c.current
	c.blocks[c.current].Encrypt(block, block)
	return out
}

// blocks holds the plain blocks of Decode: the cipher is an interface, so that a local one would be allocated each time.
var blocks sync.Pool

// Decode returns the content of the connection ID raw. It fails with ErrSize, ErrKey or ErrCheck.
func (c *Codec) Decode(raw []byte) (ID, error) {
	if len(raw) != Size {
		return ID{}, ErrSize
	}
	cipherBlock := c.blocks[raw[0]]
	if cipherBlock == nil {
		return ID{}, ErrKey
	}
	block, ok := blocks.Get().(*[aes.BlockSize]byte)
	if !ok {
		block = new([aes.BlockSize]byte)
	}
	defer blocks.Put(block)
	cipherBlock.Decrypt(block[:], raw[1:])
	nonce := binary.BigEndian.Uint32(block[offsetNonce:])
	id := ID{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(block[offsetIP:])), binary.BigEndian.Uint16(block[offsetPort:])),
		Service:     binary.BigEndian.Uint16(block[offsetService:]),
		Incarnation: binary.BigEndian.Uint16(block[offsetIncarnation:]),
		Class:       class.Class(nonce >> nonceBits),
		Nonce:       nonce & MaxNonce,
	}
	if binary.BigEndian.Uint16(block[offsetCheck:]) != 0 || !id.Class.IsValid() || id.Agent.Port() == 0 {
		return ID{}, ErrCheck
	}
	return id, nil
}
