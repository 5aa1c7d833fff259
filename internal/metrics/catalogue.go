package metrics

import (
	"fmt"
	"strings"
)

// Kind is the kind of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Names of the programs, which are the prefixes of the names of their metrics.
const (
	Balancer = "gentian_balancer"
	Agent    = "gentian_agent"
)

// Metric is one entry of the catalogue.
type Metric struct {
	Program string
	// Name is the name of the metric without the program and an underscore before it.
	Name string
	Kind Kind
	// Tags are the names of the tags, separated by commas, or empty.
	Tags    string
	Unit    string
	Meaning string
}

// Catalogue lists all metrics. A test compares it with the code.
var Catalogue = []Metric{
	{Balancer, "datagrams", Counter, "verdict", "datagrams", "Callers' datagrams by the decision: forward, place, malformed, unknown_flow, outside_networks, no_route, no_target."},
	{Balancer, "dropped_ring_full", Counter, "", "datagrams", "Datagrams dropped inside the balancer, since a ring buffer was full: the VM is overloaded."},
	{Balancer, "dropped_send_failed", Counter, "", "datagrams", "Datagrams that the kernel refused to send."},
	{Balancer, "dropped_oversized", Counter, "", "datagrams", "Callers' datagrams above 1400 bytes, such as probes of the path MTU."},
	{Balancer, "dropped_bad_envelope", Counter, "", "datagrams", "Malformed or forged datagrams on the data socket."},
	{Balancer, "dropped_no_listener", Counter, "", "datagrams", "Responses for an address whose port has no open socket on this balancer."},
	{Balancer, "store_calls_failed", Counter, "", "calls", "Failed calls to the platform's store."},
	{Balancer, "revision", Gauge, "", "revision", "Number of the revision in force."},
	{Balancer, "store_reader", Gauge, "", "1 or 0", "1 while this balancer reads the store; three of each availability zone do."},
	{Agent, "dropped_bad_envelope", Counter, "", "datagrams", "Malformed or forged datagrams on the data socket."},
	{Agent, "dropped_malformed", Counter, "", "datagrams", "Payloads that are not a QUIC packet or not of a class that is served."},
	{Agent, "dropped_unknown_flow", Counter, "", "datagrams", "Packets that open no flow and whose connection ID no agent has issued."},
	{Agent, "dropped_other_service", Counter, "", "datagrams", "Packets for another service or address: the VM's address belonged to another agent before."},
	{Agent, "dropped_former_flow", Counter, "", "datagrams", "Packets of flows of a previous incarnation of the agent."},
	{Agent, "dropped_refused_flow", Counter, "", "datagrams", "Opening packets of flows that neither candidate could accept."},
	{Agent, "handed_on", Counter, "", "datagrams", "Opening packets redirected to the second candidate."},
	{Agent, "dropped_ring_full", Counter, "", "datagrams", "Datagrams dropped since a ring buffer was full: the VM is overloaded."},
	{Agent, "dropped_no_balancer", Counter, "", "datagrams", "Responses dropped, since the agent does not know a balancer yet."},
	{Agent, "dropped_send_failed", Counter, "", "datagrams", "Datagrams that the kernel refused to send."},
	{Agent, "requests", Counter, "class, outcome", "requests", "Finished requests by class and outcome."},
	{Agent, "retries", Counter, "", "requests", "Requests sent to the target again."},
	{Agent, "relayed", Counter, "", "requests", "Requests relayed to another agent of the pool before they ran."},
	{Agent, "uncovered_keys", Counter, "", "requests", "Requests with an idempotency key in a pool that is too large to claim keys; repeats may run again."},
	{Agent, "cut_feeds", Counter, "", "feeds", "Feeds cut off by a forced shutdown."},
	{Balancer, "opaque_packets", Counter, "verdict", "packets", "Callers' packets of opaque flows by the decision: forward, reset, drop, confirm."},
	{Balancer, "opaque_malformed", Counter, "", "datagrams", "Datagrams that are neither a packet of the platform nor a frame of an agent."},
	{Balancer, "opaque_send_failed", Counter, "", "datagrams", "Datagrams that the kernel refused to send."},
	{Balancer, "opaque_located", Counter, "", "hints", "Hints by agents whose target holds a flow without being its first candidate."},
	{Balancer, "opaque_held_dropped", Counter, "", "packets", "Packets dropped since too many others wait for a revalidation of the targets."},
	{Balancer, "opaque_configuration", Gauge, "", "version", "Version of the operators' configuration in force."},
	{Balancer, "opaque_targets", Gauge, "state", "targets", "Known targets by the state of their agents: reachable, suspect, dead, gone."},
	{Balancer, "opaque_store_age", Gauge, "", "seconds", "Time since the last reply of the store."},
	{Balancer, "opaque_walk", Histogram, "", "candidates", "Candidates that had declined a packet when it was returned to the balancer."},
	{Balancer, "store_calls", Counter, "call, outcome", "calls", "Calls to the platform's store: read, list, follow, replace; ok or failed."},
	{Balancer, "store_latency", Histogram, "call, outcome", "seconds", "Duration of calls to the store; follow waits for changes for up to 2.5 s."},
	{Balancer, "store_era", Gauge, "", "era", "Era of the platform's store: it rises each time the store is restored from a copy."},
	{Balancer, "opaque_unsettled", Gauge, "", "0 or 1", "1 while the restored store may lack entries of targets, so that no flow is reset for want of a target."},
	{Balancer, "opaque_evacuations_refused", Counter, "", "changes", "Evacuations of zones that could not be recorded: the name of the zone is too long or empty, or too many zones are evacuated."},
	{Balancer, "opaque_cold_rates_refused", Counter, "", "services", "Services whose warmup_per_s in an applied configuration is invalid: their cold targets have no limit."},
	{Balancer, "log_lines_dropped", Counter, "", "lines", "Log lines dropped, since the reader of the log was too slow or the log could not be written."},
	{Agent, "opaque_packets", Counter, "verdict", "packets", "Packets of opaque flows by the decision: deliver, pass_on, give_back, answer, drop, wait."},
	{Agent, "opaque_malformed", Counter, "", "datagrams", "Datagrams that are neither a packet of the platform nor a frame."},
	{Agent, "opaque_send_failed", Counter, "", "datagrams", "Datagrams that the kernel refused to send."},
	{Agent, "opaque_flows", Gauge, "", "flows", "Flows that the target holds."},
	{Agent, "opaque_waiting", Gauge, "", "flows", "Flows whose opening packet waits for room at the target."},
	{Agent, "opaque_opening_wait", Histogram, "", "seconds", "Time that opening packets waited for room at the target."},
	{Agent, "opaque_evacuated_flows", Gauge, "", "flows", "Flows that the target still holds while its availability zone is evacuated, otherwise 0."},
	{Agent, "opaque_evacuated_declined", Counter, "", "packets", "Opening packets that the agent declined since the availability zone of its target is evacuated."},
	{Agent, "opaque_records_written", Counter, "", "records", "Records of the persistent flows that the agent has written to the store."},
	{Agent, "opaque_record_flows", Gauge, "", "flows", "Flows in the last record that the agent has written."},
	{Agent, "opaque_record_resets", Counter, "", "flows", "Flows that the agent has reset since a record proved that they were lost with an earlier start of the target."},
	{Agent, "opaque_records_refused", Counter, "", "records", "Records that the agent has ignored: they cannot be decoded, or are of another agent or service."},
	{Agent, "opaque_cold_skipped", Counter, "", "packets", "Opening packets that the target did not receive at once because of the limit of a target that is cold or has returned to service: forwarded, queued or dropped."},
	{Agent, "opaque_warmup_left", Gauge, "", "seconds", "Time for which the target stays cold, 0 if it is warm."},
	{Agent, "opaque_target_probes", Counter, "result", "connections", "Connections to a target whose heartbeat was overdue: refused (the target is gone) or no_proof."},
	{Agent, "opaque_last_accepted_age", Gauge, "", "seconds", "Time since the target last accepted a new flow."},
	{Agent, "store_calls", Counter, "call, outcome", "calls", "Calls to the platform's store: read, replace; ok or failed."},
	{Agent, "store_latency", Histogram, "call, outcome", "seconds", "Duration of calls to the store."},
	{Agent, "store_era", Gauge, "", "era", "Era of the platform's store in the last answer that the agent got; it calls the store rarely."},
	{Agent, "log_lines_dropped", Counter, "", "lines", "Log lines dropped, since the reader of the log was too slow or the log could not be written."},
	{Agent, "cut_requests", Counter, "", "requests", "Requests cut off by a forced shutdown."},
}

// Markdown returns the catalogue as the text of docs/METRICS.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("# Metrics\n\n")
	text.WriteString("Each program answers `GET /metrics` at the address of its setting `metrics`, in the format of Prometheus. This\n")
	text.WriteString("page is generated from the catalogue in `internal/metrics` by `make docs`; a test fails when it differs from the code.\n\n")
	text.WriteString("| metric | kind | tags | unit | meaning |\n|---|---|---|---|---|\n")
	for _, m := range Catalogue {
		fmt.Fprintf(&text, "| `%s_%s` | %s | %s | %s | %s |\n", m.Program, m.Name, m.Kind, m.Tags, m.Unit, m.Meaning)
	}
	return text.String()
}
