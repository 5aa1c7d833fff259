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
)
