package control

import "gentianswitch/internal/class"

// RelayOffer asks another agent of the same service to reserve a slot for a request that the sender wants to relay to it. The
// answer is a RelayDecision. No byte of the request has reached a target when it is offered.
type RelayOffer struct {
	Class class.Class `msgpack:"class"`
	Route string      `msgpack:"route"`
	// DeadlineMs is the time until the deadline of the request, in milliseconds.
	DeadlineMs int64 `msgpack:"deadline_ms"`
}

// RelayDecision answers a RelayOffer. An accepted offer reserves a slot until the RelayRequest arrives or the connection ends.
type RelayDecision struct {
	IsAccepted bool `msgpack:"is_accepted"`
	// FreeSlots is the number of slots of the answering agent that are still free.
	FreeSlots int `msgpack:"room"`
}

// HeaderField is one header field of a relayed request or response.
type HeaderField struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// RelayRequest carries the complete request of an accepted offer.
type RelayRequest struct {
	Method string `msgpack:"method"`
	URI    string `msgpack:"uri"`
	Host   string `msgpack:"host"`
	// Caller is the address of the caller that sent the request, as an IP and port.
	Caller string        `msgpack:"caller"`
	Header []HeaderField `msgpack:"header"`
	Body   []byte        `msgpack:"body"`
}

// RelayHead starts the response to a RelayRequest: its HTTP status code and header. RelayChunk messages follow.
type RelayHead struct {
	Status int           `msgpack:"status"`
	Header []HeaderField `msgpack:"header"`
}

// RelayChunk is a part of the body of the response to a RelayRequest.
type RelayChunk struct {
	Data []byte `msgpack:"data"`
	// IsLast is true on the last chunk of the response.
	IsLast bool `msgpack:"is_last"`
	// IsCut is true on the last chunk of a response that is incomplete.
	IsCut bool `msgpack:"is_cut"`
	// FreeSlots is the number of slots of the answering agent that are free after the request.
	FreeSlots int `msgpack:"room"`
}
