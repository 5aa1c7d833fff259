package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/quic-go/quic-go"

	"gentianswitch/internal/envelope"
	"gentianswitch/internal/keys"
)

// Sizes of a stateless reset in bytes (RFC 9000, section 10.3).
const (
	resetTokenSize = 16
	minResetSize   = 21
	maxResetSize   = 41
)

// resetLabel separates the keys of stateless resets from the other uses of a secret.
const resetLabel = "gentianswitch stateless reset"

// statelessResetKey derives the key of stateless resets from a secret. Every agent with the secret derives the same key, so
// that an agent can reset the flows of its previous incarnations.
func statelessResetKey(key *keys.Key) quic.StatelessResetKey {
	derived := hmac.New(sha256.New, key.Secret[:])
	_, _ = derived.Write([]byte(resetLabel))
	return quic.StatelessResetKey(derived.Sum(nil))
}

// sendStatelessResets answers a datagram of size bytes of a flow that no longer exists. The agent doesn't know which key the
// flow's token was made with, so it sends one stateless reset for each key. A reset is shorter than the datagram that it
// answers, so that two endpoints don't reset each other endlessly.
func (a *Agent) sendStatelessResets(rawID []byte, header envelope.Header, size int) {
	size = min(size-1, maxResetSize)
	if size < minResetSize {
		return
	}
	for _, key := range a.keys.Load().All() {
		reset := newStatelessReset(&key, rawID, size)
		a.outbound.TryPut(outgoingDatagram{payload: reset, caller: header.Caller, address: header.Address})
	}
}

// newStatelessReset returns a stateless reset of the given size: random bytes that look like a short header packet, followed by
// the token.
func newStatelessReset(key *keys.Key, rawID []byte, size int) []byte {
	secret := statelessResetKey(key)
	token := hmac.New(sha256.New, secret[:])
	_, _ = token.Write(rawID)
	reset := make([]byte, size-resetTokenSize, size)
	_, _ = rand.Read(reset)
	reset[0] = reset[0]&0x3f | 0x40
	return append(reset, token.Sum(nil)[:resetTokenSize]...)
}
