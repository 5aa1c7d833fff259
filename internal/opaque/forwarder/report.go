package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/steer"
)

// counters are the metrics of a forwarder: counters, gauges and a histogram.
type counters struct {
	forwarded, reset, dropped tally.Counter
	malformed, sendFailed     tally.Counter
	located, pendingDropped   tally.Counter
	evacuationsRefused        tally.Counter
	coldRatesRefused          tally.Counter
	configuration, storeAge   tally.Gauge
	unsettled                 tally.Gauge
	targets                   [directory.Gone + 1]tally.Gauge
	candidatesTried           tally.Histogram
}

// candidatesTriedBuckets are the bounds of the histogram of candidates tried for a returned packet. A frame holds eight
// candidates.
var candidatesTriedBuckets = tally.ValueBuckets{1, 2, 4, 8, 16, 32, 64}

func newCounters(scope tally.Scope) counters {
	verdict := func(v steer.Verdict) tally.Counter {
		return scope.Tagged(map[string]string{"verdict": v.String()}).Counter("opaque_packets")
	}
	c := counters{
		forwarded: verdict(steer.Forward), reset: verdict(steer.Reset), dropped: verdict(steer.Drop),
		malformed:          scope.Counter("opaque_malformed"),
		sendFailed:         scope.Counter("opaque_send_failed"),
		evacuationsRefused: scope.Counter("opaque_evacuations_refused"),
		coldRatesRefused:   scope.Counter("opaque_cold_rates_refused"),
		located:            scope.Counter("opaque_located"), pendingDropped: scope.Counter("opaque_held_dropped"),
		configuration: scope.Gauge("opaque_configuration"), storeAge: scope.Gauge("opaque_store_age"),
		unsettled:       scope.Gauge("opaque_unsettled"),
		candidatesTried: scope.Histogram("opaque_walk", candidatesTriedBuckets),
	}
	for state := range c.targets {
		tags := map[string]string{"state": directory.Reachability(state).String()}
		c.targets[state] = scope.Tagged(tags).Gauge("opaque_targets")
	}
	return c
}

// gaugeInterval is the time between two updates of the gauges. It is at most the interval at which they are scraped.
const gaugeInterval = 5 * time.Second

// reportGauges updates the gauges until ctx ends.
func (f *Forwarder) reportGauges(ctx context.Context) error {
	duty.Every(ctx, gaugeInterval, f.updateGauges)
	return nil
}

func (f *Forwarder) updateGauges(now time.Time) {
	f.counters.configuration.Update(float64(f.configurationVersion()))
	f.counters.pendingDropped.Inc(int64(f.pendingPackets.Dropped()) - f.reportedPendingDrops)
	f.reportedPendingDrops = int64(f.pendingPackets.Dropped())
	var states [directory.Gone + 1]float64
	f.mu.Lock()
	for _, t := range f.directory.Targets() {
		states[t.State]++
	}
	answeredAt, isSettled := f.storeAnsweredAt, f.settlement.IsSettled()
	f.mu.Unlock()
	if isSettled {
		f.counters.unsettled.Update(0)
	} else {
		f.counters.unsettled.Update(1)
	}
	for state, count := range states {
		f.counters.targets[state].Update(count)
	}
	if !answeredAt.IsZero() {
		f.counters.storeAge.Update(now.Sub(answeredAt).Seconds())
	}
}

// verdict returns the counter of the packets with a verdict.
func (c *counters) verdict(v steer.Verdict) tally.Counter {
	switch v {
	case steer.Forward:
		return c.forwarded
	case steer.Reset:
		return c.reset
	default:
		return c.dropped
	}
}

// logPlaced logs that an opening packet is sent to its first candidate, and what is known of that one's target.
func (f *Forwarder) logPlaced(p *flow.Packet, d steer.Decision) {
	if !f.deps.Log.IsEnabled(events.OpaqueFlowPlaced) {
		return
	}
	now := time.Now()
	f.mu.Lock()
	target, _ := f.directory.Lookup(d.Agent)
	f.mu.Unlock()
	f.deps.Log.Emit(events.OpaqueFlowPlaced, events.F("flow", p.IDFromCaller().String()), events.F("copies", p.Retransmissions),
		events.F("route", routeName(d)), events.F("agent", ipText(d.Agent)), events.F("candidates", d.Header.CandidateCount),
		events.F("reason", d.Reason.String()), events.F("configuration", f.configurationVersion()),
		events.F("revision", target.Revision.Revision()), events.Age("entry_ms", now, target.EntryReceivedAt),
		events.Age("pong_ms", now, target.AnsweredAt))
}

func (f *Forwarder) logDropped(p *flow.Packet, d steer.Decision) {
	f.deps.Log.Emit(events.OpaquePacketLost, events.F("flow", p.IDFromCaller().String()),
		events.F("reason", d.Reason.String()), events.F("targets", f.targetCount()))
}

// configurationVersion returns the version of the configuration in force, or zero.
func (f *Forwarder) configurationVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table := f.steer.Table(); table != nil {
		return table.Version
	}
	return 0
}

// targetCount returns the number of targets in the current view.
func (f *Forwarder) targetCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.View().Len()
}

func routeName(d steer.Decision) string {
	if d.Route == nil {
		return ""
	}
	return d.Route.Name
}

func ipText(ip hop.IP) string { return netip.AddrFrom4(ip).String() }
