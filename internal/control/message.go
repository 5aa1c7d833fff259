// Package control implements the control connections between balancers, agents and gentianctl: mutual TLS over TCP,
// framed msgpack messages.
package control

import (
	"gentianswitch/internal/dedupe"
	"gentianswitch/internal/member"
)

// Message is one frame of a control connection. Exactly one field is set.
type Message struct {
	Announce        *Announce            `msgpack:"announce,omitempty"`
	AnnounceReply   *AnnounceReply       `msgpack:"announce_reply,omitempty"`
	Hello           *Hello               `msgpack:"hello,omitempty"`
	Gossip          *Gossip              `msgpack:"gossip,omitempty"`
	RevisionRequest *RevisionRequest     `msgpack:"revision_request,omitempty"`
	RevisionReply   *RevisionReply       `msgpack:"revision_reply,omitempty"`
	RevisionOffer   *RevisionOffer       `msgpack:"revision_offer,omitempty"`
	RevisionAck     *RevisionAck         `msgpack:"revision_ack,omitempty"`
	StatusRequest   *StatusRequest       `msgpack:"status_request,omitempty"`
	Status          *Status              `msgpack:"status,omitempty"`
	DrainRequest    *DrainRequest        `msgpack:"drain_request,omitempty"`
	DrainStatus     *DrainStatus         `msgpack:"drain_status,omitempty"`
	RelayOffer      *RelayOffer          `msgpack:"relay_offer,omitempty"`
	RelayDecision   *RelayDecision       `msgpack:"relay_decision,omitempty"`
	RelayRequest    *RelayRequest        `msgpack:"relay_request,omitempty"`
	RelayHead       *RelayHead           `msgpack:"relay_head,omitempty"`
	RelayChunk      *RelayChunk          `msgpack:"relay_chunk,omitempty"`
	Claim           *dedupe.Claim        `msgpack:"claim,omitempty"`
	ClaimReply      *dedupe.ClaimReply   `msgpack:"claim_reply,omitempty"`
	ClaimOutcome    *dedupe.ClaimOutcome `msgpack:"settle,omitempty"`
}

// Announce is an agent's message to its observers, the balancers that watch it: at each heartbeat, and at each change of its
// record.
type Announce struct {
	Target member.Target `msgpack:"target"`
	// IsLeaving is true when the agent is about to close the connection and to announce to another balancer instead.
	IsLeaving bool `msgpack:"is_leaving,omitempty"`
}

// DrainAction is the action that an operator requests from an agent.
type DrainAction uint8

// The actions of a DrainRequest.
const (
	// DrainStart makes the agent accept no new work and finish the work in progress.
	DrainStart DrainAction = 1
	// DrainUndo makes a draining agent accept new work again.
	DrainUndo DrainAction = 2
	// DrainForce aborts the work in progress and shuts the agent down.
	DrainForce DrainAction = 3
	// DrainQuery requests the DrainStatus and changes nothing.
	DrainQuery DrainAction = 4
)

// DrainRequest requests a DrainAction from an agent. The answer is a DrainStatus.
type DrainRequest struct {
	Action DrainAction `msgpack:"action"`
}

// DrainStatus reports the lifecycle state of an agent and its work in progress.
type DrainStatus struct {
	State    member.State `msgpack:"state" json:"state"`
	Flows    int          `msgpack:"flows" json:"flows"`
	Requests int          `msgpack:"requests" json:"requests"`
}
