// Package connid implements the QUIC connection IDs (RFC 9000, section 5.1) that agents issue and balancers decode.
//
// An ID consists of one byte that identifies the key and one encrypted AES block. The block holds the address of the
// agent, the service, the incarnation of the agent, the class of work, a nonce and a check field of zeros. A balancer
// that has the key needs no other state to forward a datagram of an open flow.
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

// MaxNonce is the largest nonce that an ID can hold.
const MaxNonce = 1<<nonceBits - 1

// nonceBits is the size of the nonce. The class occupies the two bits above it.
const nonceBits = 30

// Offsets of the fields in the decrypted block, in bytes.
const (
	offsetIP            = 0
	offsetPort          = 4
	offsetService       = 6
	offsetIncarnation   = 8
	offsetClassAndNonce = 10
	offsetCheck         = 14
)

// Errors that Decode returns.
var (
	ErrSize  = eris.New("connection ID has a length that agents do not issue")
	ErrKey   = eris.New("connection ID was made with an unknown key")
	ErrCheck = eris.New("connection ID has an invalid check field, class or port")
)

// ID is the decoded content of a connection ID.
type ID struct {
	// Agent is the IPv4 address and port of the agent's datagram socket.
	Agent netip.AddrPort
	// Service is the number of the service that the agent serves.
	Service uint16
	// Incarnation is the low 16 bits of the agent's incarnation, which identifies one start of the agent.
	Incarnation uint16
	// Class is the class of the route on which the flow was opened.
	Class class.Class
	// Nonce distinguishes the IDs of one agent. It is at most MaxNonce.
	Nonce uint32
}

// Codec encodes and decodes connection IDs. It is immutable and safe for concurrent use.
type Codec struct {
	currentKey uint8
	// ciphers holds the cipher of each key at the index of its identifier, or nil.
	ciphers [256]cipher.Block
}

// NewCodec returns a codec that decodes with every key of the set and encodes with the current key.
func NewCodec(set *keys.Set) (*Codec, error) {
	c := &Codec{currentKey: set.Current().ID}
	for _, k := range set.All() {
		block, err := aes.NewCipher(k.Secret[:])
		if err != nil {
			return nil, eris.Wrapf(err, "create cipher for key id %d", k.ID)
		}
		c.ciphers[k.ID] = block
	}
	return c, nil
}

// Encode returns the connection ID of id, encrypted with the current key.
func (c *Codec) Encode(id ID) [Size]byte {
	var out [Size]byte
	block := out[1:]
	ip := id.Agent.Addr().As4()
	copy(block[offsetIP:], ip[:])
	binary.BigEndian.PutUint16(block[offsetPort:], id.Agent.Port())
	binary.BigEndian.PutUint16(block[offsetService:], id.Service)
	binary.BigEndian.PutUint16(block[offsetIncarnation:], id.Incarnation)
	classAndNonce := uint32(id.Class)<<nonceBits | id.Nonce&MaxNonce
	binary.BigEndian.PutUint32(block[offsetClassAndNonce:], classAndNonce)
	out[0] = c.currentKey
	c.ciphers[c.currentKey].Encrypt(block, block)
	return out
}

// plainBlocks is a pool of buffers for Decode. A local buffer would be allocated on the heap for each call, because it is
// passed to an interface.
var plainBlocks sync.Pool

// Decode returns the content of the connection ID raw, or ErrSize, ErrKey or ErrCheck.
func (c *Codec) Decode(raw []byte) (ID, error) {
	if len(raw) != Size {
		return ID{}, ErrSize
	}
	blockCipher := c.ciphers[raw[0]]
	if blockCipher == nil {
		return ID{}, ErrKey
	}
	block, ok := plainBlocks.Get().(*[aes.BlockSize]byte)
	if !ok {
		block = new([aes.BlockSize]byte)
	}
	defer plainBlocks.Put(block)
	blockCipher.Decrypt(block[:], raw[1:])
	classAndNonce := binary.BigEndian.Uint32(block[offsetClassAndNonce:])
	id := ID{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(block[offsetIP:])), binary.BigEndian.Uint16(block[offsetPort:])),
		Service:     binary.BigEndian.Uint16(block[offsetService:]),
		Incarnation: binary.BigEndian.Uint16(block[offsetIncarnation:]),
		Class:       class.Class(classAndNonce >> nonceBits),
		Nonce:       classAndNonce & MaxNonce,
	}
	if binary.BigEndian.Uint16(block[offsetCheck:]) != 0 || !id.Class.IsValid() || id.Agent.Port() == 0 {
		return ID{}, ErrCheck
	}
	return id, nil
}
