package agent

import (
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/class"
)

// counters are the metrics of the datagram path, in datagrams.
type counters struct {
	badEnvelope  tally.Counter
	malformed    tally.Counter
	unknownFlow  tally.Counter
	otherService tally.Counter
	formerFlow   tally.Counter
	refusedFlow  tally.Counter
	handedOn     tally.Counter
	ringFull     tally.Counter
	noBalancer   tally.Counter
	sendFailed   tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		badEnvelope:  scope.Counter("dropped_bad_envelope"),
		malformed:    scope.Counter("dropped_malformed"),
		unknownFlow:  scope.Counter("dropped_unknown_flow"),
		otherService: scope.Counter("dropped_other_service"),
		formerFlow:   scope.Counter("dropped_former_flow"),
		refusedFlow:  scope.Counter("dropped_refused_flow"),
		handedOn:     scope.Counter("handed_on"),
		ringFull:     scope.Counter("dropped_ring_full"),
		noBalancer:   scope.Counter("dropped_no_balancer"),
		sendFailed:   scope.Counter("dropped_send_failed"),
	}
}

// requestCounters are the metrics of the requests.
type requestCounters struct {
	scope   tally.Scope
	retries tally.Counter
	relayed tally.Counter
	// uncoveredKeys counts requests with an idempotency key in a pool too large to claim keys in.
	uncoveredKeys tally.Counter
	cutFeeds      tally.Counter
	cutRequests   tally.Counter
}

func newRequestCounters(scope tally.Scope) requestCounters {
	return requestCounters{
		scope:         scope,
		retries:       scope.Counter("retries"),
		relayed:       scope.Counter("relayed"),
		uncoveredKeys: scope.Counter("uncovered_keys"),
		cutFeeds:      scope.Counter("cut_feeds"),
		cutRequests:   scope.Counter("cut_requests"),
	}
}

// finished counts a request by its class and outcome.
func (c *requestCounters) finished(kind class.Class, outcome string) {
	c.scope.Tagged(map[string]string{"class": kind.String(), "outcome": outcome}).Counter("requests").Inc(1)
}
