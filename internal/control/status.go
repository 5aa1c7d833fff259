package control

import (
	"net/netip"

	"gentianswitch/internal/member"
	"gentianswitch/internal/revision"
)

// StatusRequest requests the Status of a balancer.
type StatusRequest struct{}

// Status is a balancer's view of the system, for operators.
type Status struct {
	// Balancer is the data address of the balancer that answers.
	Balancer netip.AddrPort `msgpack:"balancer" json:"balancer"`
	Zone     string         `msgpack:"zone" json:"zone"`
	// Revision and Change identify the tables in force.
	Revision uint64 `msgpack:"revision" json:"revision"`
	Change   string `msgpack:"change" json:"change"`
	// Targets are the targets in the balancer's view.
	Targets []member.Target `msgpack:"targets" json:"targets"`
	// Balancers are the live balancers, including the one that answers.
	Balancers []member.Balancer `msgpack:"balancers" json:"balancers"`
}

// InForce returns the revision in force.
func (s Status) InForce() revision.ID {
	return revision.ID{Number: s.Revision, ChangeID: s.Change}
}

// RevisionRequest requests the configuration revision in force on the receiver. The answer is a RevisionReply.
type RevisionRequest struct {
	// InForce is the revision in force on the sender. The answer is a delta from it when the receiver still has one.
	InForce revision.ID `msgpack:"have"`
}

// RevisionReply answers a RevisionRequest.
type RevisionReply struct {
	Revision revision.Revision `msgpack:"revision"`
}

// RevisionOffer sends a configuration revision to a balancer, which applies it when it is newer. The answer is a RevisionAck.
type RevisionOffer struct {
	Revision revision.Revision `msgpack:"revision"`
}

// RevisionAck answers a RevisionOffer.
type RevisionAck struct {
	// InForce is the revision in force on the answering balancer after it has handled the offer.
	InForce revision.ID `msgpack:"in_force"`
	// Outcome is the result of applying the offered revision.
	Outcome revision.Outcome `msgpack:"outcome"`
}
