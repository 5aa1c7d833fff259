package agent

import (
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/class"
)

// datagramCounters count the datagrams that the agent drops or redirects, by reason.
type datagramCounters struct {
	badEnvelope         tally.Counter
	malformed           tally.Counter
	unknownFlow         tally.Counter
	otherService        tally.Counter
	previousIncarnation tally.Counter
	refusedFlow         tally.Counter
	redirected          tally.Counter
	ringFull            tally.Counter
	noBalancer          tally.Counter
	sendFailed          tally.Counter
}

func newDatagramCounters(scope tally.Scope) datagramCounters {
	return datagramCounters{
		badEnvelope:         scope.Counter("dropped_bad_envelope"),
		malformed:           scope.Counter("dropped_malformed"),
		unknownFlow:         scope.Counter("dropped_unknown_flow"),
		otherService:        scope.Counter("dropped_other_service"),
		previousIncarnation: scope.Counter("dropped_former_flow"),
		refusedFlow:         scope.Counter("dropped_refused_flow"),
		redirected:          scope.Counter("handed_on"),
		ringFull:            scope.Counter("dropped_ring_full"),
		noBalancer:          scope.Counter("dropped_no_balancer"),
		sendFailed:          scope.Counter("dropped_send_failed"),
	}
}

// requestCounters are the metrics of HTTP requests.
type requestCounters struct {
	scope   tally.Scope
	retries tally.Counter
	relayed tally.Counter
	// uncoveredKeys counts the requests whose idempotency key was not claimed because the pool has too many agents.
	uncoveredKeys tally.Counter
	// cutFeeds and cutRequests count the work that a forced shutdown aborts.
	cutFeeds    tally.Counter
	cutRequests tally.Counter
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

// recordFinished counts a finished request by class and outcome.
func (r *requestCounters) recordFinished(c class.Class, outcome string) {
	r.scope.Tagged(map[string]string{"class": c.String(), "outcome": outcome}).Counter("requests").Inc(1)
}
