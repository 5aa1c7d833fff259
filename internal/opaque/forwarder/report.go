package forwarder

import (
	"net/netip"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/steer"
)

// counters are the metrics of a forwarder.
type counters struct {
	forwarded, reset, dropped tally.Counter
	malformed, sendFailed     tally.Counter
}

func newCounters(scope tally.Scope) counters {
	verdict := func(v steer.Verdict) tally.Counter {
		return scope.Tagged(map[string]string{"verdict": v.String()}).Counter("opaque_packets")
	}
	return counters{
		forwarded: verdict(steer.Forward), reset: verdict(steer.Reset), dropped: verdict(steer.Drop),
		malformed:  scope.Counter("opaque_malformed"),
		sendFailed: scope.Counter("opaque_send_failed"),
	}
}

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

func (f *Forwarder) logPlaced(p *flow.Packet, d steer.Decision) {
	if !f.parts.Log.IsEnabled(events.OpaqueFlowPlaced) {
		return
	}
	f.parts.Log.Emit(events.OpaqueFlowPlaced, events.F("flow", p.FromCaller().String()), events.F("copies", p.Copies),
		events.F("route", routeName(d)), events.F("agent", ipText(d.Agent)), events.F("candidates", d.Header.Count),
		events.F("reason", d.Reason.String()), events.F("configuration", f.version()))
}

func (f *Forwarder) logDropped(p *flow.Packet, d steer.Decision) {
	f.parts.Log.Emit(events.OpaquePacketLost, events.F("flow", p.FromCaller().String()),
		events.F("reason", d.Reason.String()), events.F("targets", f.targets()))
}

// version returns the version of the routes in force, or zero.
func (f *Forwarder) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if table := f.steer.Table(); table != nil {
		return table.Version
	}
	return 0
}

func (f *Forwarder) targets() int {
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
