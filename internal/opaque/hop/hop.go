// Package hop implements the frames that balancers and agents send each other about opaque flows. A frame is a UDP
// datagram: a caller's datagram, or nothing, and behind it a trailer, so that the caller's bytes are not moved.
package hop

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Kind is the kind of a frame.
type Kind uint8

// The kinds of frames.
const (
	// Forward carries a caller's datagram to an agent.
	Forward Kind = iota + 1
	// Returned carries a caller's datagram back to the balancer: every candidate has declined it.
	Returned
	// FlowLocation tells a balancer which agent holds a flow. Its body is the flow's ID.
	FlowLocation
	// Ping asks an agent whether it is reachable. Its body is the Report of the balancer.
	Ping
	// Pong answers a Ping. Its body is a Bulletin.
	Pong
	// Refused carries a caller's opening back to the balancer: it has waited in vain for room at a target.
	Refused
	// Notice tells a balancer of news of its group without a Ping. Its body is a Bulletin.
	Notice
	// RevisionRequest asks a reader for the revision of the last change of the targets. It has no body.
	RevisionRequest
	// RevisionReply answers an Ask. Its body is the revision.
	RevisionReply
)

// MaxCandidates bounds the candidates of a frame, so that a full datagram and its trailer fit an Ethernet frame.
const MaxCandidates = 8

// Sizes of the trailer in bytes.
const (
	addressBytes = 4
	// fixedBytes holds origin (4), service (8), sequence (2), epoch (2), objective (2), least loaded agent (4), its load
	// (1), busy agents (1), deferral (1), walked (1), hops (1), candidates (1) and kind (1).
	fixedBytes = 29
	// MaxTrailer is the size of the largest trailer.
	MaxTrailer = fixedBytes + MaxCandidates*addressBytes
)

// IP is an IPv4 address.
type IP [addressBytes]byte

// Header is the trailer of a frame.
type Header struct {
	Kind Kind
	// Origin is the balancer that took the datagram from the caller, or that sent a Ping.
	Origin IP
	// Service identifies the service that the balancer chose. An agent of another service declines the datagram.
	Service uint64
	// Sequence pairs a Pong with its Ping.
	Sequence uint16
	// Epoch is that of the balancer's view and routes when the walk began.
	Epoch uint16
	// IsRevalidated is set when that view was read from the store after an earlier walk had ended in vain.
	IsRevalidated bool
	// MayBeOpen is set in a repeated opening when an agent that declined it cannot tell whether its target has accepted
	// the flow before.
	MayBeOpen bool
	// Busy counts the agents that passed the opening over because their targets were busy. LeastLoaded is the one among
	// them with the lowest load, and Load its load.
	Busy        uint8
	LeastLoaded IP
	Load        uint8
	// IsDuplicate is set in a copy of a packet whose walk goes on elsewhere: an agent whose target does not hold the flow
	// drops it.
	IsDuplicate bool
	// MustAccept is set when the next agent takes the opening although its target is busy.
	MustAccept bool
	// Objective is the latency objective of the flow's route in milliseconds, and Deferral tells by how many steps the
	// route is less urgent than the most urgent one. They are set in a frame that opens a flow.
	Objective      uint16
	PriorityOffset uint8
	// CandidatesTried counts the candidates that the flow was offered to before those in this frame.
	CandidatesTried uint8
	// Hops counts the agents that passed the frame on.
	Hops uint8
	// Count is the number of Candidates in use.
	Count uint8
	// Candidates are the agents that come next, in this order.
	Candidates [MaxCandidates]IP
}

// Bits in the byte of the kind.
const (
	confirmedBit = 0x80
	mayBeOpenBit = 0x40
	settledBit   = 0x20
	copyBit      = 0x10
	kindMask     = 0x0f
)

// ErrMalformed means that a datagram is no frame.
var ErrMalformed = eris.New("malformed frame")

// CopyDatagram copies a datagram that has to wait, with room for a trailer.
func CopyDatagram(datagram []byte) []byte {
	return append(make([]byte, 0, len(datagram)+MaxTrailer), datagram...)
}

// Append appends the trailer to frame.
func (h *Header) Append(frame []byte) []byte {
	for i := range h.Count {
		frame = append(frame, h.Candidates[i][:]...)
	}
	frame = append(frame, h.Origin[:]...)
	frame = binary.BigEndian.AppendUint64(frame, h.Service)
	frame = binary.BigEndian.AppendUint16(frame, h.Sequence)
	frame = binary.BigEndian.AppendUint16(frame, h.Epoch)
	frame = binary.BigEndian.AppendUint16(frame, h.Objective)
	kind := byte(h.Kind)
	if h.IsRevalidated {
		kind |= confirmedBit
	}
	if h.MayBeOpen {
		kind |= mayBeOpenBit
	}
	if h.MustAccept {
		kind |= settledBit
	}
	if h.IsDuplicate {
		kind |= copyBit
	}
	frame = append(frame, h.LeastLoaded[:]...)
	return append(frame, h.Load, h.Busy, h.PriorityOffset, h.CandidatesTried, h.Hops, h.Count, kind)
}

// Decode reads the trailer of a frame into h and returns the body before it.
func (h *Header) Decode(frame []byte) ([]byte, error) {
	if len(frame) < fixedBytes {
		return nil, ErrMalformed
	}
	body, fixed := frame[:len(frame)-fixedBytes], frame[len(frame)-fixedBytes:]
	copy(h.Origin[:], fixed[0:4])
	h.Service = binary.BigEndian.Uint64(fixed[4:12])
	h.Sequence = binary.BigEndian.Uint16(fixed[12:14])
	h.Epoch, h.Objective = binary.BigEndian.Uint16(fixed[14:16]), binary.BigEndian.Uint16(fixed[16:18])
	copy(h.LeastLoaded[:], fixed[18:22])
	h.Load, h.Busy = fixed[22], fixed[23]
	h.PriorityOffset, h.CandidatesTried, h.Hops, h.Count = fixed[24], fixed[25], fixed[26], fixed[27]
	kind := fixed[28]
	h.Kind = Kind(kind & kindMask)
	h.IsRevalidated, h.MayBeOpen, h.MustAccept = kind&confirmedBit != 0, kind&mayBeOpenBit != 0, kind&settledBit != 0
	h.IsDuplicate = kind&copyBit != 0
	list := int(h.Count) * addressBytes
	if h.Count > MaxCandidates || len(body) < list || h.Kind < Forward || h.Kind > RevisionReply {
		return nil, ErrMalformed
	}
	body, candidates := body[:len(body)-list], body[len(body)-list:]
	for i := range int(h.Count) {
		copy(h.Candidates[i][:], candidates[i*addressBytes:])
	}
	return body, nil
}

// Next removes the first candidate and returns it. It reports false when none is left.
func (h *Header) Next() (IP, bool) {
	if h.Count == 0 {
		return IP{}, false
	}
	first := h.Candidates[0]
	copy(h.Candidates[:], h.Candidates[1:h.Count])
	h.Count--
	h.Hops++
	return first, true
}

// ConfigurationSource tells that a balancer holds a version of the configuration.
type ConfigurationSource struct {
	Version uint64
	Holder  IP
}

const sightingBytes = 8 + addressBytes

// Append appends the encoded sighting to raw.
func (s ConfigurationSource) Append(raw []byte) []byte {
	raw = binary.BigEndian.AppendUint64(raw, s.Version)
	return append(raw, s.Holder[:]...)
}

// DecodeConfigurationSource reads what Append wrote.
func DecodeConfigurationSource(raw []byte) (ConfigurationSource, error) {
	if len(raw) != sightingBytes {
		return ConfigurationSource{}, ErrMalformed
	}
	s := ConfigurationSource{Version: binary.BigEndian.Uint64(raw)}
	copy(s.Holder[:], raw[8:])
	return s, nil
}
