// Package hop encodes and decodes the frames that balancers and agents exchange about opaque flows. A frame is a UDP
// datagram that consists of a body, such as a caller's datagram, and a trailer. The trailer comes last, so that programs add
// and remove it without moving the body in the buffer.
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
	// Returned carries a caller's datagram back to the balancer because every candidate of the frame has declined it.
	Returned
	// FlowLocation informs a balancer that the sender's target holds a flow. Its body is the flow's ID and opening.
	FlowLocation
	// Ping checks whether an agent is reachable. Its body is the sender's BalancerStatus.
	Ping
	// Pong answers a Ping. Its body is a GroupStatus.
	Pong
	// Refused carries a caller's opening packet back to the balancer because it waited too long at an agent for room at
	// the target, or because the agent's queue was full.
	Refused
	// GroupStatusNotice informs a balancer of a change in its group without a Ping. Its body is a GroupStatus.
	GroupStatusNotice
	// RevisionRequest asks a reader (a balancer that watches the store) for the revision of the last change of the targets.
	// It has no body.
	RevisionRequest
	// RevisionReply answers a RevisionRequest. Its body is the revision.
	RevisionReply
	// TableRequest asks a reader for the version of the newest table of routes, from a read of the store that begins after the request
	// has arrived. It has no body.
	TableRequest
	// TableReply answers a TableRequest. Its body is the version.
	TableReply
	// EntryUnreadable informs an agent that the entry of its target in the store cannot be decoded. It has no body.
	EntryUnreadable
)

// MaxCandidates bounds the candidates in a frame, so that a caller's largest datagram and the trailer fit an Ethernet frame.
const MaxCandidates = 8

// Sizes of the trailer in bytes.
const (
	addressBytes = 4
	// fixedTrailerBytes is the size of the fields that follow the candidates: origin (4), service (8), sequence (2), epoch (2),
	// objective (2), least loaded agent (4), its load (1), busy agents (1), priority offset (1), candidates tried (1), hops (1),
	// number of candidates (1) and kind with flags (1).
	fixedTrailerBytes = 29
	// MaxTrailer is the size of the largest trailer.
	MaxTrailer = fixedTrailerBytes + MaxCandidates*addressBytes
)

// IP is an IPv4 address.
type IP [addressBytes]byte

// Header is the trailer of a frame.
type Header struct {
	Kind Kind
	// Origin is the balancer that received the datagram from the caller, or that sent a Ping.
	Origin IP
	// Service is the desired.ServiceKey of the service that the balancer chose. An agent of another service declines the
	// datagram. In a FlowLocation it is the service of the sender's target.
	Service uint64
	// Sequence matches a Pong with its Ping, and the reply of a reader with its request.
	Sequence uint16
	// Epoch identifies the balancer's view of the targets and its routes at the start of the candidate search. The epoch
	// changes whenever one of them does. A balancer that finds its own epoch changed starts the search over.
	Epoch uint16
	// IsRevalidated is set when an earlier candidate search was exhausted and the balancer has read the targets from the store
	// again since.
	IsRevalidated bool
	// MayBeOpen is set in a retransmitted opening packet when an agent that declined it does not know whether its target has
	// already accepted the flow.
	MayBeOpen bool
	// BusyCount counts the agents that skipped the opening packet because their targets were busy.
	BusyCount uint8
	// LeastLoaded is the agent with the lowest load among them.
	LeastLoaded IP
	// LowestLoad is the load of the target beside LeastLoaded. It is 32 when all slots of the target are in use.
	LowestLoad uint8
	// IsDuplicate is set in a copy of a packet that is also sent through the regular candidate search. An agent whose target
	// does not hold the flow drops the copy.
	IsDuplicate bool
	// MustAccept requires the agents to accept the opening packet although their targets are busy.
	MustAccept bool
	// Objective is the latency objective of the flow's route in milliseconds. PriorityOffset is the difference between the
	// priority of the route and that of the most urgent route. Both are set in frames that carry an opening packet.
	Objective      uint16
	PriorityOffset uint8
	// RunsOnce is set in frames that carry an opening packet of a route whose requests must not run twice.
	RunsOnce bool
	// CandidatesTried counts the candidates of this frame and of the earlier frames of the search. When the frame returns, the
	// search continues behind them.
	CandidatesTried uint8
	// Hops counts the agents that forwarded the frame.
	Hops uint8
	// CandidateCount is the number of entries of Candidates in use.
	CandidateCount uint8
	// Candidates are the agents to try next, in this order.
	Candidates [MaxCandidates]IP
}

// Flags in the upper half of the kind byte.
const (
	revalidatedBit = 0x80
	mayBeOpenBit   = 0x40
	mustAcceptBit  = 0x20
	duplicateBit   = 0x10
	kindMask       = 0x0f
)

// runsOnceBit is a flag in the byte of the busy count, which is at most MaxCandidates.
const runsOnceBit = 0x80

// ErrMalformed means that a datagram is not a valid frame.
var ErrMalformed = eris.New("malformed frame")

// CopyDatagram returns a copy of a pending datagram with capacity for a trailer.
func CopyDatagram(datagram []byte) []byte {
	return append(make([]byte, 0, len(datagram)+MaxTrailer), datagram...)
}

// Append appends the trailer to frame.
func (h *Header) Append(frame []byte) []byte {
	for i := range h.CandidateCount {
		frame = append(frame, h.Candidates[i][:]...)
	}
	frame = append(frame, h.Origin[:]...)
	frame = binary.BigEndian.AppendUint64(frame, h.Service)
	frame = binary.BigEndian.AppendUint16(frame, h.Sequence)
	frame = binary.BigEndian.AppendUint16(frame, h.Epoch)
	frame = binary.BigEndian.AppendUint16(frame, h.Objective)
	kind := byte(h.Kind)
	if h.IsRevalidated {
		kind |= revalidatedBit
	}
	if h.MayBeOpen {
		kind |= mayBeOpenBit
	}
	if h.MustAccept {
		kind |= mustAcceptBit
	}
	if h.IsDuplicate {
		kind |= duplicateBit
	}
	busy := h.BusyCount
	if h.RunsOnce {
		busy |= runsOnceBit
	}
	frame = append(frame, h.LeastLoaded[:]...)
	return append(frame, h.LowestLoad, busy, h.PriorityOffset, h.CandidatesTried, h.Hops, h.CandidateCount, kind)
}

// Decode decodes the trailer of a frame into h and returns the body before it.
func (h *Header) Decode(frame []byte) ([]byte, error) {
	if len(frame) < fixedTrailerBytes {
		return nil, ErrMalformed
	}
	body, fixed := frame[:len(frame)-fixedTrailerBytes], frame[len(frame)-fixedTrailerBytes:]
	copy(h.Origin[:], fixed[0:4])
	h.Service = binary.BigEndian.Uint64(fixed[4:12])
	h.Sequence = binary.BigEndian.Uint16(fixed[12:14])
	h.Epoch, h.Objective = binary.BigEndian.Uint16(fixed[14:16]), binary.BigEndian.Uint16(fixed[16:18])
	copy(h.LeastLoaded[:], fixed[18:22])
	h.LowestLoad, h.BusyCount, h.RunsOnce = fixed[22], fixed[23]&^runsOnceBit, fixed[23]&runsOnceBit != 0
	h.PriorityOffset, h.CandidatesTried, h.Hops, h.CandidateCount = fixed[24], fixed[25], fixed[26], fixed[27]
	kind := fixed[28]
	h.Kind = Kind(kind & kindMask)
	h.IsRevalidated, h.MayBeOpen, h.MustAccept = kind&revalidatedBit != 0, kind&mayBeOpenBit != 0, kind&mustAcceptBit != 0
	h.IsDuplicate = kind&duplicateBit != 0
	candidateBytes := int(h.CandidateCount) * addressBytes
	if h.CandidateCount > MaxCandidates || len(body) < candidateBytes || h.Kind < Forward || h.Kind > EntryUnreadable {
		return nil, ErrMalformed
	}
	body, candidates := body[:len(body)-candidateBytes], body[len(body)-candidateBytes:]
	for i := range int(h.CandidateCount) {
		copy(h.Candidates[i][:], candidates[i*addressBytes:])
	}
	return body, nil
}

// PopCandidate removes the first candidate, counts a hop and returns the candidate. It reports false when none is left.
func (h *Header) PopCandidate() (IP, bool) {
	if h.CandidateCount == 0 {
		return IP{}, false
	}
	first := h.Candidates[0]
	copy(h.Candidates[:], h.Candidates[1:h.CandidateCount])
	h.CandidateCount--
	h.Hops++
	return first, true
}

// ConfigurationSource names a balancer that holds a version of the configuration, so that others can fetch it there.
type ConfigurationSource struct {
	Version uint64
	// Holder is the address of the balancer.
	Holder IP
}

const configurationSourceBytes = 8 + addressBytes

// Append appends the encoded source to raw.
func (s ConfigurationSource) Append(raw []byte) []byte {
	raw = binary.BigEndian.AppendUint64(raw, s.Version)
	return append(raw, s.Holder[:]...)
}

// DecodeConfigurationSource decodes a source that ConfigurationSource.Append has encoded.
func DecodeConfigurationSource(raw []byte) (ConfigurationSource, error) {
	if len(raw) != configurationSourceBytes {
		return ConfigurationSource{}, ErrMalformed
	}
	s := ConfigurationSource{Version: binary.BigEndian.Uint64(raw)}
	copy(s.Holder[:], raw[8:])
	return s, nil
}
