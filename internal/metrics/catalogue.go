package metrics

import (
	"fmt"
	"strings"
)

// Kind is the kind of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter Kind = "counter"
	Gauge   Kind = "gauge"
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
