package events

import "github.com/sirupsen/logrus"

// Request events.
var (
	RequestAdmitted = define(500, logrus.InfoLevel, "request admitted",
		"A request was given to the target.", "request", "class", "caller", "waited_ms", "reason")
	RequestQueued = define(501, logrus.InfoLevel, "request queued",
		"A request waits for a slot.", "request", "class", "caller", "queue", "reason")
	RequestRefused = define(502, logrus.InfoLevel, "request refused",
		"A request was answered 503 without having been run.", "request", "class", "caller", "reason", "retry_after_ms")
	RequestFinished = define(503, logrus.InfoLevel, "request finished",
		"The answer to a request was sent or given up.", "request", "class", "caller", "outcome", "status", "duration_ms", "reason")
	RequestRelayed = define(504, logrus.InfoLevel, "request relayed",
		"A request was passed to a peer agent with room before any byte reached a target.", "request", "class", "caller", "peer", "reason")
	FlowHandedOn = define(505, logrus.InfoLevel, "flow handed on",
		"A datagram that opens a flow was passed to the second candidate.", "caller", "second", "reason")
	RequestRetried = define(506, logrus.InfoLevel, "request retried",
		"An idempotent request is sent to the target once more, within the retry budget.", "request", "caller", "error")
	RelayFailed = define(507, logrus.InfoLevel, "relay failed",
		"A peer agent did not take a request; the request itself was not sent to it.", "request", "peer", "error")
	RouteReclassified = define(508, logrus.WarnLevel, "route reclassified",
		"The durations of a route contradict its declared class, or no longer do. Correct the class in the table of routes.",
		"route", "class", "typical_ms")
	HealthChanged = define(509, logrus.WarnLevel, "health changed",
		"The agent's judgement on its target, from the answers seen, has changed. An ejected target gets no new flows "+
			"while another target of the pool can take them.", "state", "reason")
	KeyNotSettled = define(510, logrus.WarnLevel, "key not settled",
		"A replica of an idempotency key was not told how the request ended; it answers repeats as unknown.", "peer", "error")
)
