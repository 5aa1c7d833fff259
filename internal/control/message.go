// Package control implements the control connections between balancers, agents and gentianctl: mutual TLS over TCP,
// framed msgpack messages.
package control

import (
	"net/netip"

	"gentianswitch/internal/member"
)

// Message is one frame of a control connection. Exactly one field is set.
type Message struct {
	Announce      *Announce      `msgpack:"announce,omitempty"`
	StatusRequest *StatusRequest `msgpack:"status_request,omitempty"`
	Status        *Status        `msgpack:"status,omitempty"`
}

// Announce is what an agent tells its home balancers, at each heartbeat and at each change.
type Announce struct {
	Target member.Target `msgpack:"target"`
}

// StatusRequest asks a balancer for its Status.
type StatusRequest struct{}

// Status is a balancer's view, for operators.
type Status struct {
	Balancer netip.AddrPort  `msgpack:"balancer" json:"balancer"`
	Zone     string          `msgpack:"zone" json:"zone"`
	Revision uint64          `msgpack:"revision" json:"revision"`
	Targets  []member.Target `msgpack:"targets" json:"targets"`
}
