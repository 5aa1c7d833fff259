package control

import (
	"net/netip"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

// StatusRequest asks a balancer for its Status.
type StatusRequest struct{}

// Status is a balancer's view, for operators.
type Status struct {
	Balancer netip.AddrPort `msgpack:"balancer" json:"balancer"`
	Zone     string         `msgpack:"zone" json:"zone"`
	// Revision and Change identify the tables in force.
	Revision uint64          `msgpack:"revision" json:"revision"`
	Change   string          `msgpack:"change" json:"change"`
	Targets  []member.Target `msgpack:"targets" json:"targets"`
	// Balancers are the live balancers, the one that answers included.
	Balancers []member.Balancer `msgpack:"balancers" json:"balancers"`
}

// InForce returns the revision in force.
func (s Status) InForce() revision.ID {
	return revision.ID{Number: s.Revision, Change: s.Change}
}

// RevisionRequest asks for the revision in force. The answer is a RevisionReply.
type RevisionRequest struct {
	// Have is the revision that the asking process has in force; the answer is a delta to it when one is kept.
	Have revision.ID `msgpack:"have"`
}

// RevisionReply answers a RevisionRequest.
type RevisionReply struct {
	Revision revision.Revision `msgpack:"revision"`
}

// RevisionOffer hands a revision to a balancer. The answer is a RevisionAck.
type RevisionOffer struct {
	Revision revision.Revision `msgpack:"revision"`
}

// RevisionAck answers a RevisionOffer.
type RevisionAck struct {
	// InForce is the revision in force after the offer.
	InForce revision.ID `msgpack:"in_force"`
	// Outcome tells what became of the offer.
	Outcome revision.Outcome `msgpack:"outcome"`
}
