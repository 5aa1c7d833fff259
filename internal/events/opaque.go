package events

import "github.com/sirupsen/logrus"

// Events of opaque flows. The key flow is caller>address, the same in all programs.
var (
	OpaqueFlowPlaced = define(210, logrus.InfoLevel, "opaque flow placed",
		"A balancer sent a packet that opens a flow to the first of its candidates. It took the target's entry of this "+
			"revision entry_ms ago, and the agent last answered a ping pong_ms ago; -1 is never.",
		"flow", "copies", "route", "agent", "candidates", "reason", "configuration", "revision", "entry_ms", "pong_ms")
	OpaqueFlowReset = define(211, logrus.InfoLevel, "opaque flow reset",
		"The caller was told that its flow is not served. When opens is set, no request of it has run.",
		"flow", "opens", "route", "reason", "configuration", "targets")
	OpaqueFlowPassedOn = define(212, logrus.InfoLevel, "opaque flow passed on",
		"An agent did not offer a packet that opens a flow to its target, or the target declined it; the next candidate "+
			"or, when next is empty, the balancer has it.",
		"flow", "next", "reason", "hops")
	OpaqueFlowLocated = define(213, logrus.InfoLevel, "opaque flow located",
		"A flow was found behind its first candidate; the balancer remembers its agent.", "flow", "agent")
	OpaqueFlowsLost = define(214, logrus.WarnLevel, "opaque flows lost",
		"The target has ended, and may have started again; the callers of its open flows were told.",
		"instance", "flows")
	OpaqueFlowEnded = define(217, logrus.InfoLevel, "opaque flow ended with its target",
		"The target has ended, or started again as instance, and no longer holds a flow that it has served. When told is set, "+
			"the agent has told the caller; else other targets are asked first. Whether the flow's last request has run is not "+
			"known.",
		"flow", "former", "instance", "told")
	OpaqueFlowWaits = define(218, logrus.InfoLevel, "opaque flow waits",
		"An opening of a less urgent route waits at the agent, since twice as many flows as slots wait for the target. "+
			"The target's last heartbeat came heartbeat_ms ago; -1 is never.",
		"flow", "copies", "deferral", "waiting", "busy", "slots", "heartbeat_ms")
	OpaquePacketsHeldLost = define(216, logrus.WarnLevel, "opaque packets given up",
		"No candidate holds the flows of these packets, and the store could not confirm that no target does; nothing was reset.",
		"packets", "error")
	OpaquePacketLost = define(215, logrus.WarnLevel, "opaque packet dropped",
		"A packet of an open flow was dropped, since no candidate holds the flow and the view of the targets is incomplete.",
		"flow", "reason", "targets")

	TargetEntry = define(310, logrus.InfoLevel, "target entry",
		"The balancer's belief about a target has changed: by its entry in the store, or by answers to pings.",
		"agent", "service", "zone", "slots", "draining", "state", "reason", "revision")
	TargetEntryRefused = define(311, logrus.WarnLevel, "target entry refused",
		"An entry in the store cannot be read; it names no target.", "key", "revision", "error")
	TargetHeartbeat = define(312, logrus.InfoLevel, "target state",
		"A heartbeat has changed what the agent believes of its target. The flow table is complete when the target holds no "+
			"flow beside those in it.",
		"instance", "started", "sequence", "service", "slots", "draining", "complete")
	TargetHeartbeatRefused = define(313, logrus.WarnLevel, "target heartbeat refused",
		"A heartbeat is malformed, is of another target, or was overtaken by a later one; it changes nothing.",
		"instance", "error")
	TargetLeft = define(314, logrus.InfoLevel, "target left",
		"The target has ended by plan.", "instance")
	TargetSilent = define(316, logrus.WarnLevel, "target silent",
		"The target has given no sign of life for two and a half heartbeats: it counts as gone until its next one. Its open "+
			"flows have ended. Its last heartbeat came heartbeat_ms ago; -1 is never.",
		"instance", "flows", "heartbeat_ms")
	EntryWritten = define(315, logrus.InfoLevel, "entry written",
		"The store holds the target's entry.", "revision", "draining", "left", "complete")

	ConfigurationApplied = define(410, logrus.InfoLevel, "configuration applied",
		"A newer version of the routes is in force on this balancer.", "configuration", "routes", "added", "removed", "moved", "revision", "source")
	ConfigurationRefused = define(411, logrus.ErrorLevel, "configuration refused",
		"A configuration cannot be read; the one in force stays.", "revision", "error")
	ConfigurationIgnored = define(412, logrus.InfoLevel, "configuration ignored",
		"A source holds a version that is not above the one in force.", "configuration", "known", "source")

	HandoverFailed = define(413, logrus.WarnLevel, "handover failed",
		"Another balancer could not be asked for the routes and targets that it knows.", "peer", "error")

	ReaderChanged = define(414, logrus.InfoLevel, "reader changed",
		"The balancer begins or ends to follow the store. Else others of its group tell it of changes.", "reading", "revision")

	ReadinessChanged = define(110, logrus.InfoLevel, "readiness changed",
		"The balancer tells the routers whether it takes packets.", "ready", "reason")
	LogLinesDropped = define(111, logrus.WarnLevel, "log lines dropped",
		"Lines were left out, since the reader of the log was too slow.", "lines")
	SettingsReloaded = define(112, logrus.InfoLevel, "settings reloaded",
		"The process received SIGHUP.", "error")
)
