package flow_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/flow"
)

var id = flow.ID{
	Caller:  flow.Endpoint{IP: [4]byte{100, 64, 0, 7}, Port: 40001},
	Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
}

func TestDecodeIDReturnsEncodedID(t *testing.T) {
	g := NewWithT(t)
	decoded, ok := flow.DecodeID(id.AppendTo(nil))
	g.Expect(ok).To(BeTrue())
	g.Expect(decoded).To(Equal(id))
	_, ok = flow.DecodeID(id.AppendTo(nil)[1:])
	g.Expect(ok).To(BeFalse())
}

// Guards against a location that loses the opening of its flow, and against one of an agent that does not know it, which would be refused.
func TestDecodeLocationReturnsEncodedLocation(t *testing.T) {
	for _, opening := range []flow.Opening{{}, {IsKnown: true}, {Sequence: 0xfedcba98, IsKnown: true}} {
		g := NewWithT(t)
		raw := flow.AppendLocation(nil, id, opening)
		decodedID, decodedOpening, ok := flow.DecodeLocation(raw)
		g.Expect([]any{decodedID, decodedOpening, ok}).To(Equal([]any{id, opening, true}))
		_, _, ok = flow.DecodeLocation(raw[1:])
		g.Expect(ok).To(BeFalse())
	}
}

func TestPacketsOfBothDirectionsHaveSameID(t *testing.T) {
	g := NewWithT(t)
	request := flow.Packet{Source: id.Caller, Destination: id.Address}
	answer := flow.Packet{Source: id.Address, Destination: id.Caller}
	g.Expect(request.IDFromCaller()).To(Equal(id))
	g.Expect(answer.IDFromTarget()).To(Equal(id))
	g.Expect(id.String()).To(Equal("100.64.0.7:40001>198.18.0.1:443"))
}

func TestHashesOfFlowsFromAdjacentPortsDiffer(t *testing.T) {
	g := NewWithT(t)
	next := id
	next.Caller.Port++
	g.Expect(next.Hash()).NotTo(Equal(id.Hash()))
	g.Expect(id.Hash()).To(Equal(id.Hash()))
}
