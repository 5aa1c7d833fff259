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

// statelessResetKey derives the key of the stateless resets from a secret. Every agent that holds the secret derives the same
// one, so that an agent can end the flows of its former incarnations.
func statelessResetKey(key *keys.Key) quic.StatelessResetKey {
	derived := hmac.New(sha256.New, key.Secret[:])
	_, _ = derived.Write([]byte(resetLabel))
	return quic.StatelessResetKey(derived.Sum(nil))
}

// sendStatelessResets tells the caller of a flow that no longer exists to give it up. The agent does not know which key made
// the flow's token, so it sends one reset for each key. A reset is shorter than the datagram that it answers, so that
// two ends which reset each other fall silent.
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

// newStatelessReset returns a stateless reset of the given size: random bytes that look like a short header, and the token.
func newStatelessReset(key *keys.Key, rawID []byte, size int) []byte {
	secret := statelessResetKey(key)
	token := hmac.New(sha256.New, secret[:])
	_, _ = token.Write(rawID)
	reset := make([]byte, size-resetTokenSize, size)
	_, _ = rand.Read(reset)
	reset[0] = reset[0]&0x3f | 0x40
	return append(reset, token.Sum(nil)[:resetTokenSize]...)
}
