package events

import "github.com/sirupsen/logrus"

// Request events.
var (
	RequestAdmitted = define(500, logrus.InfoLevel, "request admitted",
		"A request was sent to the target.", "request", "class", "caller", "waited_ms", "reason")
	RequestQueued = define(501, logrus.InfoLevel, "request queued",
		"A request waits for a slot.", "request", "class", "caller", "queue", "reason")
	RequestRefused = define(502, logrus.InfoLevel, "request refused",
		"A request was answered 503 without having been run.", "request", "class", "caller", "reason", "retry_after_ms")
	RequestFinished = define(503, logrus.InfoLevel, "request finished",
		"The response to a request was sent, or the attempt was abandoned.", "request", "class", "caller", "outcome", "status", "duration_ms", "reason")
	RequestRelayed = define(504, logrus.InfoLevel, "request relayed",
		"A request was relayed to a peer agent with room for it before any byte of it reached a target.", "request", "class", "caller", "peer", "reason")
	FlowRedirected = define(505, logrus.InfoLevel, "flow handed on",
		"The opening packet of a flow was redirected to the second candidate.", "caller", "second", "reason")
	RequestRetried = define(506, logrus.InfoLevel, "request retried",
		"An idempotent request is sent to the target again, within the retry budget.", "request", "caller", "error")
	RelayFailed = define(507, logrus.InfoLevel, "relay failed",
		"A peer agent did not accept a request; the request itself was not sent to it.", "request", "peer", "error")
	RouteReclassified = define(508, logrus.WarnLevel, "route reclassified",
		"The durations of a route contradict its declared class, or no longer do. Correct the class in the table of routes.",
		"route", "class", "typical_ms")
	HealthChanged = define(509, logrus.WarnLevel, "health changed",
		"The health of the target, which the agent derives from the target's responses, changed. An ejected target gets no new "+
			"flows while another target of the pool can serve them.", "state", "reason")
	KeyOutcomeNotSent = define(510, logrus.WarnLevel, "key not settled",
		"The outcome of a request could not be sent to a replica of its idempotency key; the replica answers repeats as unknown.", "peer", "error")
)
