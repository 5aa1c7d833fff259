package events

import "github.com/sirupsen/logrus"

// Request events.
var (
	RequestAdmitted = define(500, logrus.InfoLevel, "request admitted",
		"A request was given to the target.", "request", "class", "caller", "waited_ms", "reason")
	RequestQueued = define(501, logrus.InfoLevel, "request queued",
		"A request waits for a slot.", "request", "class", "caller", "queue", "reason")
	RequestRefused = define(502, logrus.InfoLevel, "request refused",
		"A request was answered 503 without having been run.", "request", "class", "caller", "reason", "retry_after_s")
	RequestFinished = define(503, logrus.InfoLevel, "request finished",
		"The answer to a request was sent or given up.", "request", "class", "caller", "outcome", "status", "duration_ms")
	RequestRelayed = define(504, logrus.InfoLevel, "request relayed",
		"A request was passed to a peer agent with room before any byte reached a target.", "request", "class", "caller", "peer", "reason")
	FlowHandedOn = define(505, logrus.InfoLevel, "flow handed on",
		"A datagram that opens a flow was passed to the second candidate.", "caller", "second", "reason")
)
