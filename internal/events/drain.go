package events

import "github.com/sirupsen/logrus"

// Drain events.
var (
	DrainStarted = define(600, logrus.InfoLevel, "drain started",
		"The agent takes no new flows and ends when the work in progress has ended.", "flows", "feeds", "requests")
	DrainFinished = define(601, logrus.InfoLevel, "drain finished",
		"All work in progress has ended.")
	DrainForced = define(602, logrus.WarnLevel, "drain forced",
		"The operator ended the drain; the work in progress was cut.", "cut_feeds", "cut_requests")
	DrainUndone = define(603, logrus.InfoLevel, "drain undone",
		"The operator called the drain off; the agent takes new flows again.")
)
