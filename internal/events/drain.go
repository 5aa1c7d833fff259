package events

import "github.com/sirupsen/logrus"

// Drain events.
var (
	DrainStarted = define(600, logrus.InfoLevel, "drain started",
		"The agent takes no new flows and ends when the work in progress has ended.", "flows", "requests")
	DrainFinished = define(601, logrus.InfoLevel, "drain finished",
		"All work in progress has ended.", "cut_flows", "cut_requests")
	DrainForced = define(602, logrus.WarnLevel, "drain forced",
		"The operator ended the drain; the work in progress was cut.", "cut_flows", "cut_requests")
)
