package events

import "github.com/sirupsen/logrus"

// Events of opaque flows. The field flow has the form caller>address in all programs.
var (
	OpaqueFlowPlaced = define(210, logrus.InfoLevel, "opaque flow placed",
		"A balancer sent an opening packet to its first candidate; copies counts the earlier copies. The balancer received this "+
			"revision of the target's entry entry_ms ago, and the agent last answered a ping pong_ms ago; -1 means never.",
		"flow", "copies", "route", "agent", "candidates", "reason", "configuration", "revision", "entry_ms", "pong_ms")
	OpaqueFlowReset = define(211, logrus.InfoLevel, "opaque flow reset",
		"The caller was sent a reset: its flow is not served. When opens is set, no request of the flow has run. The configuration "+
			"is in force at this balancer since table_ms, and the last read of all targets that its view includes began view_ms "+
			"ago; -1 means never.",
		"flow", "opens", "route", "reason", "configuration", "table_ms", "targets", "view_ms")
	OpaqueFlowForwarded = define(212, logrus.InfoLevel, "opaque flow passed on",
		"An agent did not offer an opening packet to its target, or the target declined it. The agent forwarded it to the next "+
			"candidate or, when next is empty, returned it to the balancer.",
		"flow", "next", "reason", "hops")
	OpaqueFlowLocated = define(213, logrus.InfoLevel, "opaque flow located",
		"The target of a flow is not the first candidate; the balancer remembers the agent of the target.", "flow", "agent")
	OpaqueFlowsLost = define(214, logrus.WarnLevel, "opaque flows lost",
		"The target has stopped, and may have restarted; resets were sent to the callers of its open flows.",
		"instance", "flows")
	OpaqueFlowEnded = define(217, logrus.InfoLevel, "opaque flow ended with its target",
		"The target has stopped, or restarted as instance, and no longer holds a flow that it has served. When told is set, the "+
			"agent has sent a reset to the caller; otherwise the other targets are tried first. It is not known whether the last "+
			"request of the flow has run. The reason is the evidence: succession, silence, bounced_packet, refused_connection or "+
			"recorded. The target accepted the flow flow_ms ago; -1 means that this is not known.",
		"flow", "former", "instance", "told", "reason", "flow_ms")
	OpaqueFlowWaits = define(218, logrus.InfoLevel, "opaque flow waits",
		"An opening packet waits at the agent, since the target has just joined or has no room. Until its service times are known, it "+
			"has room for twice as many flows as slots. Less urgent routes wait sooner. Its last heartbeat arrived heartbeat_ms ago; -1 means never.",
		"flow", "copies", "deferral", "waiting", "busy", "slots", "heartbeat_ms")
	OpaquePendingPacketsDropped = define(216, logrus.WarnLevel, "opaque packets given up",
		"These packets were dropped: no candidate holds their flows, or no route leads to their address, and it could not be made "+
			"sure that no target or newer configuration is missing here. No flow was reset.",
		"packets", "error")
	OpaquePacketLost = define(215, logrus.WarnLevel, "opaque packet dropped",
		"A packet of an open flow was dropped: no candidate holds the flow, and the view of the targets is incomplete.",
		"flow", "reason", "targets")

	TargetEntry = define(310, logrus.InfoLevel, "target entry",
		"The state of a target in the balancer's view changed, by its entry in the store or by answers to pings.",
		"agent", "service", "zone", "slots", "draining", "state", "reason", "revision", "era")
	TargetEntryRefused = define(311, logrus.WarnLevel, "target entry refused",
		"An entry in the store cannot be decoded; it is ignored. A balancer tells the agent that the key names, and that one writes its "+
			"entry again.", "key", "revision", "error")
	TargetHeartbeat = define(312, logrus.InfoLevel, "target state",
		"A heartbeat changed the state of the target in the agent's view. When complete is set, the agent's flow table lists all "+
			"flows of the target.",
		"instance", "started", "sequence", "service", "slots", "draining", "complete")
	TargetHeartbeatRefused = define(313, logrus.WarnLevel, "target heartbeat refused",
		"A heartbeat is malformed, comes from another target, or is older than the latest one; it is ignored. A field that the error "+
			"names is ignored alone.",
		"instance", "error")
	TargetLeft = define(314, logrus.InfoLevel, "target left",
		"The target has shut down as planned.", "instance")
	TargetSilent = define(316, logrus.WarnLevel, "target silent",
		"The target has given no sign of life for two and a half heartbeat intervals: it counts as gone until its next heartbeat. "+
			"Its open flows have ended. Its last heartbeat arrived heartbeat_ms ago; -1 means never.",
		"instance", "flows", "heartbeat_ms")
	EntryWritten = define(315, logrus.InfoLevel, "entry written",
		"The target's entry was written to the store.", "revision", "era", "draining", "left", "complete")
	EntryLost = define(317, logrus.WarnLevel, "entry lost",
		"The store was restored from a copy and lacks the target's entry, or holds an older one at this revision. The agent writes "+
			"the entry again.", "revision", "era")

	RecordedFlowsLost = define(224, logrus.WarnLevel, "recorded flows lost",
		"The first heartbeat of a new start of the target proves that the flows of the record in the store, written record_ms ago by an "+
			"earlier agent process, were lost. Resets were sent to their callers, except for the excluded flows, which have been opened again.",
		"former", "instance", "flows", "excluded", "record_ms")
	FlowRecordRefused = define(319, logrus.WarnLevel, "flow record refused",
		"A record of flows in the store cannot be decoded, or is of another agent or service; it is ignored.", "key", "revision", "error")

	ConfigurationApplied = define(410, logrus.InfoLevel, "configuration applied",
		"A newer version of the routes is in force on this balancer.", "configuration", "routes", "added", "removed", "moved", "revision", "source")
	ConfigurationRefused = define(411, logrus.ErrorLevel, "configuration refused",
		"A configuration cannot be decoded; the one in force stays.", "revision", "error")
	ConfigurationIgnored = define(412, logrus.InfoLevel, "configuration ignored",
		"A source has a configuration whose version is not higher than that in force; it is ignored.", "configuration", "known", "source")

	ZoneEvacuation = define(419, logrus.InfoLevel, "zone evacuation",
		"An operator has evacuated an availability zone, or returned it to service: this balancer places no new flows, or new flows "+
			"again, on its targets. Open flows stay.", "zone", "evacuated", "targets", "revision", "era")
	EvacuationRefused = define(420, logrus.WarnLevel, "evacuation refused",
		"The evacuation of an availability zone cannot be recorded; it is ignored.", "revision", "error")
	ColdRatesRefused = define(422, logrus.WarnLevel, "warm-up rates refused",
		"The configuration contains invalid values of warmup_per_s: cold targets of these services have no limit. The routes are in force.",
		"configuration", "services")
	TargetEvacuation = define(421, logrus.InfoLevel, "target evacuation",
		"The agent starts or stops declining new flows, since the availability zone of its target is evacuated or returned to service. "+
			"Its target still has this many open flows, and accepted the last new flow accepted_ms ago; -1 means never.",
		"evacuated", "flows", "revision", "accepted_ms")

	HandoverFailed = define(413, logrus.WarnLevel, "handover failed",
		"The request to another balancer for the routes and targets that it knows failed.", "peer", "error")

	StateFetched = define(416, logrus.InfoLevel, "state fetched",
		"Another balancer sent the changes after this revision, or a snapshot, and possibly a configuration. configuration is the "+
			"version that this balancer had, and received the revision of the one that was sent; 0 means none. known_from is the version "+
			"from which on this balancer then knows the services of the routes.",
		"peer", "after", "revision", "era", "snapshot", "targets", "configuration", "received", "known_from")

	EraSettled = define(417, logrus.InfoLevel, "era settled",
		"All agents had time to write entries again that the restored store had lost. Until now, no flow was reset because no known "+
			"target holds it.", "era", "targets")

	StoreAnswerTooLarge = define(418, logrus.WarnLevel, "store answer too large",
		"The changes after this revision are too large for one answer of the store. The complete state is read instead.", "after", "error")

	StoreReaderChanged = define(414, logrus.InfoLevel, "reader changed",
		"The balancer starts or stops watching the store. While it does not, other balancers of its group send it the changes.",
		"reading", "revision", "era")

	ReadinessChanged = define(110, logrus.InfoLevel, "readiness changed",
		"The balancer started or stopped reporting to the routers that it accepts packets.", "ready", "reason")
	LogLinesDropped = define(111, logrus.WarnLevel, "log lines dropped",
		"Log lines were dropped, since the reader of the log was too slow or the log could not be written.", "lines")
	SettingsReloaded = define(112, logrus.InfoLevel, "settings reloaded",
		"The process received SIGHUP. It has no keys to reload; its settings are read only at its start.", "error")
)
