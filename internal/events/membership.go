package events

import "github.com/sirupsen/logrus"

// Membership events.
var (
	TargetChanged = define(300, logrus.InfoLevel, "target changed",
		"The state of a target, as this balancer sees it, changed.", "agent", "service", "zone", "state", "incarnation", "reason")
	PeerConnected = define(301, logrus.InfoLevel, "peer connected",
		"A control connection to another process was established.", "peer", "role")
	PeerLost = define(302, logrus.WarnLevel, "peer lost",
		"A control connection to another process ended.", "peer", "role", "error")
	BalancerFound = define(303, logrus.InfoLevel, "balancer found",
		"Another balancer is alive: this balancer hears it, directly or through other live balancers that hear each other.",
		"balancer", "zone", "state", "incarnation")
	BalancerLost = define(304, logrus.WarnLevel, "balancer lost",
		"No balancer that is alive in this balancer's view hears the other one any more, or it shut down as planned (state gone).",
		"balancer", "zone", "state", "incarnation")
	ZoneChanged = define(305, logrus.WarnLevel, "zone changed",
		"All processes that this balancer hears in an availability zone became silent at once, or are heard again.",
		"zone", "is_lost", "subjects")
	PeerUnreachable = define(306, logrus.InfoLevel, "peer unreachable",
		"A control connection to another process could not be opened; the process retries with a growing backoff.",
		"peer", "error")
	IncarnationRaised = define(307, logrus.WarnLevel, "incarnation raised",
		"The previous agent on this VM had a later clock; this agent announces a higher incarnation than that of its own clock.",
		"incarnation")
)
