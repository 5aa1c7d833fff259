package events

import "github.com/sirupsen/logrus"

// Drain events.
var (
	DrainStarted = define(600, logrus.InfoLevel, "drain started",
		"The agent accepts no new flows and exits when the work in progress has finished.", "flows", "feeds", "requests")
	DrainFinished = define(601, logrus.InfoLevel, "drain finished",
		"All work in progress has finished.")
	DrainForced = define(602, logrus.WarnLevel, "drain forced",
		"The operator forced the drain to end; the work in progress was cut off.", "cut_feeds", "cut_requests")
	DrainUndone = define(603, logrus.InfoLevel, "drain undone",
		"The operator canceled the drain; the agent accepts new flows again.")
)
