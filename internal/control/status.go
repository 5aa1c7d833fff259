package control

import "gentianswitch/internal/revision"

// RevisionRequest asks for the revision in force. The answer is a message with a Revision.
type RevisionRequest struct {
	// Have is the revision that the asking process has in force; the answer is a delta to it when one is kept.
	Have revision.ID `msgpack:"have"`
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
