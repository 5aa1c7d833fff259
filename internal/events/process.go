package events

import "github.com/sirupsen/logrus"

// Process events.
var (
	ProcessStarted = define(100, logrus.InfoLevel, "process started",
		"The process has read its settings and opened its sockets.", "program", "version", "zone")
	ProcessStopping = define(101, logrus.InfoLevel, "process stopping",
		"The process received a signal and stops gracefully. An agent of opaque flows waits while its target leaves or "+
			"has just joined.", "signal", "waits")
	ProcessStopped = define(102, logrus.InfoLevel, "process stopped",
		"The process ends. The key error is present when a duty failed.", "error")
	KeysLoaded = define(103, logrus.InfoLevel, "keys loaded",
		"The key file was read again after SIGHUP. The key with the identifier current makes new output.", "current")
	MetricsFailed = define(105, logrus.ErrorLevel, "metrics failed",
		"The metrics cannot be served; the process goes on without them.", "error")
	KeysRefused = define(104, logrus.ErrorLevel, "keys refused",
		"The key file could not be read after SIGHUP; the former keys stay in force.", "error")
)
