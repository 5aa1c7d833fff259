package events

import "github.com/sirupsen/logrus"

// Routing events.
var (
	FlowPlaced = define(200, logrus.InfoLevel, "flow placed",
		"The opening packet of a flow was sent to a target. The candidates are listed in the order of preference.",
		"route", "pool", "caller", "candidates", "choice", "reason")
	FlowRefused = define(201, logrus.WarnLevel, "flow refused",
		"The opening packet of a flow was dropped, since no live target can serve the flow.", "route", "pool", "caller", "reason")
	ListenerOpened = define(202, logrus.InfoLevel, "listener opened",
		"The balancer receives datagrams for the port of a route.", "bind")
	ListenerFailed = define(203, logrus.ErrorLevel, "listener failed",
		"The balancer cannot bind the port of a route; flows to it are not served here.", "bind", "error")
	ListenerClosed = define(204, logrus.InfoLevel, "listener closed",
		"No route uses the port any more; the balancer has closed it.", "bind")
)
