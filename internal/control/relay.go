package control

import "gentianswitch/internal/class"

// RelayOffer asks a peer agent of the same service for a slot. The answer is a RelayDecision. No byte of the request
// has reached a target yet.
type RelayOffer struct {
	Class class.Class `msgpack:"class"`
	Route string      `msgpack:"route"`
	// DeadlineMs is the time that is left for the request, in milliseconds.
	DeadlineMs int64 `msgpack:"deadline_ms"`
}

// RelayDecision answers a RelayOffer. An accepted offer holds a slot until the RelayRequest comes or the connection
// ends.
type RelayDecision struct {
	IsAccepted bool `msgpack:"is_accepted"`
	// Room is the number of slots that are still free.
	Room int `msgpack:"room"`
}

// HeaderField is one header of a relayed request or answer.
type HeaderField struct {
	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// RelayRequest is the whole request of an accepted offer.
type RelayRequest struct {
	Method string        `msgpack:"method"`
	URI    string        `msgpack:"uri"`
	Host   string        `msgpack:"host"`
	Caller string        `msgpack:"caller"`
	Header []HeaderField `msgpack:"header"`
	Body   []byte        `msgpack:"body"`
}

// RelayHead starts the answer to a RelayRequest.
type RelayHead struct {
	Status int           `msgpack:"status"`
	Header []HeaderField `msgpack:"header"`
}

// RelayChunk is a piece of the answer.
type RelayChunk struct {
	Data []byte `msgpack:"data"`
	// IsLast ends the answer.
	IsLast bool `msgpack:"is_last"`
	// IsCut is true on the last chunk of an answer that is not whole.
	IsCut bool `msgpack:"is_cut"`
	// Room is the number of slots that are free after the request.
	Room int `msgpack:"room"`
}
