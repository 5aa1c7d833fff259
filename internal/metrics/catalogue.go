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

// Names of the programs as they start the names of their metrics.
const (
	Balancer = "gentian_balancer"
	Agent    = "gentian_agent"
)

// Metric is one entry of the catalogue.
type Metric struct {
	Program string
	// Name follows the program and an underscore.
	Name string
	Kind Kind
	// Tags are the names of the tags, or empty.
	Tags    string
	Unit    string
	Meaning string
}

// Catalogue lists every metric. A test compares it with the code.
var Catalogue = []Metric{
	{Balancer, "datagrams", Counter, "verdict", "datagrams", "Datagrams of callers by the decision: forward, place, malformed, unknown_flow, outside_networks, no_route, no_target."},
	{Balancer, "dropped_ring_full", Counter, "", "datagrams", "Dropped between two duties, since the ring was full: the VM is overloaded."},
	{Balancer, "dropped_send_failed", Counter, "", "datagrams", "Refused by the kernel when sent."},
	{Balancer, "dropped_oversized", Counter, "", "datagrams", "Callers' datagrams above 1400 bytes, such as probes of the path MTU."},
	{Balancer, "dropped_bad_envelope", Counter, "", "datagrams", "Malformed or forged datagrams on the data socket."},
	{Balancer, "dropped_no_listener", Counter, "", "datagrams", "Answers for an address whose port has no socket here."},
	{Balancer, "store_calls_failed", Counter, "", "calls", "Failed calls to the platform's store."},
	{Balancer, "revision", Gauge, "", "revision", "Number of the revision in force."},
	{Balancer, "store_reader", Gauge, "", "1 or 0", "1 while this balancer reads the store; three of each availability zone do."},
	{Agent, "dropped_bad_envelope", Counter, "", "datagrams", "Malformed or forged datagrams on the data socket."},
	{Agent, "dropped_malformed", Counter, "", "datagrams", "Payloads that are no QUIC packet or of no class that is served."},
	{Agent, "dropped_unknown_flow", Counter, "", "datagrams", "Packets of no flow that an agent has issued an ID for."},
	{Agent, "dropped_other_service", Counter, "", "datagrams", "Packets for another service or address: the VM's address was that of another agent."},
	{Agent, "dropped_former_flow", Counter, "", "datagrams", "Packets of flows of a former incarnation of the agent."},
	{Agent, "dropped_refused_flow", Counter, "", "datagrams", "First datagrams of flows that neither candidate could take."},
	{Agent, "handed_on", Counter, "", "datagrams", "First datagrams handed on to the second candidate."},
	{Agent, "dropped_ring_full", Counter, "", "datagrams", "Dropped since a ring was full: the VM is overloaded."},
	{Agent, "dropped_no_balancer", Counter, "", "datagrams", "Answers dropped, since no balancer was ever heard of."},
	{Agent, "dropped_send_failed", Counter, "", "datagrams", "Refused by the kernel when sent."},
	{Agent, "requests", Counter, "class, outcome", "requests", "Finished requests by class and outcome."},
	{Agent, "retries", Counter, "", "requests", "Requests sent to the target once more."},
	{Agent, "relayed", Counter, "", "requests", "Requests given to another agent of the pool before they were run."},
	{Agent, "uncovered_keys", Counter, "", "requests", "Requests with an idempotency key in a pool too large to claim keys in; repeats may run again."},
	{Agent, "cut_feeds", Counter, "", "feeds", "Feeds that a forced end has cut."},
	{Balancer, "opaque_packets", Counter, "verdict", "packets", "Callers' packets of opaque flows by the decision: forward, reset, drop, confirm."},
	{Balancer, "opaque_malformed", Counter, "", "datagrams", "Datagrams that are no packet of the platform or no frame of an agent."},
	{Balancer, "opaque_send_failed", Counter, "", "datagrams", "Refused by the kernel when sent."},
	{Balancer, "opaque_located", Counter, "", "hints", "Hints of agents that hold a flow behind its first candidate."},
	{Balancer, "opaque_held_dropped", Counter, "", "packets", "Packets that found no place among those that wait for a confirmation."},
	{Balancer, "opaque_configuration", Gauge, "", "version", "Version of the operators' configuration in force."},
	{Balancer, "opaque_targets", Gauge, "state", "targets", "Known targets by the state of their agent: reachable, suspect, dead, gone."},
	{Balancer, "opaque_store_age", Gauge, "", "seconds", "Time since the last answer of the store."},
	{Balancer, "opaque_walk", Histogram, "", "candidates", "Candidates that had declined a packet when it came back to the balancer."},
	{Balancer, "store_calls", Counter, "call, outcome", "calls", "Calls to the platform's store: read, list, follow, replace; ok or failed."},
	{Balancer, "store_latency", Histogram, "call, outcome", "seconds", "Duration of calls to the store; follow waits for changes for up to 2.5 s."},
	{Balancer, "log_lines_dropped", Counter, "", "lines", "Log lines left out, since their reader was too slow."},
	{Agent, "opaque_packets", Counter, "verdict", "packets", "Packets of opaque flows by the decision: deliver, pass_on, give_back, answer, drop, wait."},
	{Agent, "opaque_malformed", Counter, "", "datagrams", "Datagrams that are no packet of the platform or no frame."},
	{Agent, "opaque_send_failed", Counter, "", "datagrams", "Refused by the kernel when sent."},
	{Agent, "opaque_flows", Gauge, "", "flows", "Flows that the target holds."},
	{Agent, "opaque_waiting", Gauge, "", "flows", "Openings that wait for room at the target."},
	{Agent, "opaque_opening_wait", Histogram, "", "seconds", "Time that openings waited for room."},
	{Agent, "store_calls", Counter, "call, outcome", "calls", "Calls to the platform's store: read, replace; ok or failed."},
	{Agent, "store_latency", Histogram, "call, outcome", "seconds", "Duration of calls to the store."},
	{Agent, "log_lines_dropped", Counter, "", "lines", "Log lines left out, since their reader was too slow."},
	{Agent, "cut_requests", Counter, "", "requests", "Requests that a forced end has cut."},
}

// Markdown returns the catalogue as the text of docs/METRICS.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("# Metrics\n\n")
	text.WriteString("Each program answers `GET /metrics` at the address of its setting `metrics`, in the format of Prometheus. This\n")
	text.WriteString("page is made from the catalogue in `internal/metrics` by `make docs`; a test fails when it differs from the code.\n\n")
	text.WriteString("| metric | kind | tags | unit | meaning |\n|---|---|---|---|---|\n")
	for _, m := range Catalogue {
		fmt.Fprintf(&text, "| `%s_%s` | %s | %s | %s | %s |\n", m.Program, m.Name, m.Kind, m.Tags, m.Unit, m.Meaning)
	}
	return text.String()
}
