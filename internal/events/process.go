package events

import "github.com/sirupsen/logrus"

// Process events.
var (
	ProcessStarted = define(100, logrus.InfoLevel, "process started",
		"The process has read its settings and opened its sockets.", "program", "version", "zone")
	ProcessStopping = define(101, logrus.InfoLevel, "process stopping",
		"The process received a signal and shuts down gracefully. An agent of opaque flows waits while its target shuts down or "+
			"has just joined.", "signal", "waits")
	ProcessStopped = define(102, logrus.InfoLevel, "process stopped",
		"The process exits. The field error is not empty when a duty failed.", "error")
	KeysLoaded = define(103, logrus.InfoLevel, "keys loaded",
		"The key file was read again after SIGHUP. The key with the identifier current is used for new output.", "current")
	MetricsFailed = define(105, logrus.ErrorLevel, "metrics failed",
		"The metrics cannot be served; the process continues without them.", "error")
	KeysRefused = define(104, logrus.ErrorLevel, "keys refused",
		"The key file could not be read after SIGHUP; the previous keys stay in use.", "error")
)
