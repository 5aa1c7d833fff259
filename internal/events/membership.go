package events

import "github.com/sirupsen/logrus"

// Membership events.
var (
	TargetChanged = define(300, logrus.InfoLevel, "target changed",
		"The balancer's view of a target changed.", "agent", "service", "zone", "state", "incarnation", "reason")
	PeerConnected = define(301, logrus.InfoLevel, "peer connected",
		"A control connection to another process is established.", "peer", "role")
	PeerLost = define(302, logrus.WarnLevel, "peer lost",
		"A control connection to another process ended.", "peer", "role", "error")
	BalancerFound = define(303, logrus.InfoLevel, "balancer found",
		"Another balancer is live: a chain of balancers that hear each other leads to it.",
		"balancer", "zone", "state", "incarnation")
	BalancerLost = define(304, logrus.WarnLevel, "balancer lost",
		"No balancer that is live here hears the other balancer any more, or it has stopped by plan (state gone).",
		"balancer", "zone", "state", "incarnation")
	ZoneChanged = define(305, logrus.WarnLevel, "zone changed",
		"Everything that this balancer hears in an availability zone went silent at once, or is heard again.",
		"zone", "is_lost", "subjects")
	PeerUnreachable = define(306, logrus.InfoLevel, "peer unreachable",
		"A control connection to another process could not be opened; it is tried again with growing waits.",
		"peer", "error")
	IncarnationRaised = define(307, logrus.WarnLevel, "incarnation raised",
		"The VM's former agent had a later clock; this agent announces a higher incarnation than its own clock gives.",
		"incarnation")
)
