package steer

import (
	"slices"
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
)

// maxSearchedServices bounds the services that are all searched for an open flow before it is reset. The search visits a few targets
// of each.
const maxSearchedServices = 16

// openingHistory is the time for which a caller repeats an opening packet, and another balancer may be behind with its routes.
const openingHistory = 10 * time.Second

// previousService is a service that a route no longer names. Earlier flows of the route may be open there until expiresAt.
type previousService struct {
	service   desired.ServiceKey
	expiresAt time.Time
}

// serviceHistory records the services that routes have named in the last flow.Lifetime. A flow may be open at any of them.
type serviceHistory struct {
	// from is the version of the oldest table from which on every table up to the one in force is known, and since is when that
	// table came into force. What the routes named before is not known.
	from     uint64
	since    time.Time
	previous map[flow.Endpoint][]previousService
}

func newServiceHistory() serviceHistory {
	return serviceHistory{previous: make(map[flow.Endpoint][]previousService)}
}

// isComplete reports whether every service is known at which a flow may be open.
func (h *serviceHistory) isComplete(now time.Time) bool { return now.Sub(h.since) >= flow.Lifetime }

// recordReplacement records the services that routes of a table no longer name in the next one. Open flows stay where they are.
func (h *serviceHistory) recordReplacement(now time.Time, table, next *desired.Table) {
	table.EachRoute(func(address flow.Endpoint, route *desired.Route) {
		replacement := next.Route(address)
		if replacement == nil {
			delete(h.previous, address)
			return
		}
		for _, weighted := range route.Services {
			if !replacement.HasService(weighted.Service) {
				h.add(now, address, weighted.Service, now.Add(flow.Lifetime))
			}
		}
	})
}

// add records a previous service of an address, and removes those that have expired.
func (h *serviceHistory) add(now time.Time, address flow.Endpoint, service desired.ServiceKey, expiresAt time.Time) {
	kept := slices.DeleteFunc(h.previous[address], func(p previousService) bool {
		if p.service == service {
			expiresAt = later(expiresAt, p.expiresAt)
		}
		return p.service == service || !now.Before(p.expiresAt)
	})
	if now.Before(expiresAt) {
		kept = append(kept, previousService{service, expiresAt})
	}
	h.previous[address] = kept
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// merge includes the history of another balancer. The table in force is already the newer of the two tables.
func (h *serviceHistory) merge(now time.Time, version uint64, other desired.History) {
	for _, p := range other.Previous {
		h.add(now, p.Address, p.Service, now.Add(min(p.ExpiresIn, flow.Lifetime)))
	}
	// If the two histories have a version in common, they lack none between their oldest ones and the table in force.
	if other.From > 0 && h.from <= other.Version && other.Version <= version {
		h.from = min(h.from, other.From)
		if since := now.Add(-other.KnownFor); since.Before(h.since) {
			h.since = since
		}
	}
}

// History returns the history of the services, for another balancer. If it is too large, it only includes the table in force.
func (s *Machine) History(now time.Time) desired.History {
	if s.table == nil {
		return desired.History{}
	}
	h := desired.History{Version: s.table.Version, From: s.history.from, KnownFor: now.Sub(s.history.since)}
	for address, services := range s.history.previous {
		for _, p := range services {
			if now.Before(p.expiresAt) {
				h.Previous = append(h.Previous, desired.PreviousService{
					Address: address, Service: p.service, ExpiresIn: p.expiresAt.Sub(now),
				})
			}
		}
	}
	if len(h.Previous) > desired.MaxPrevious {
		return desired.History{Version: s.table.Version, From: s.table.Version}
	}
	return h
}

// HistoryFrom returns the version from which on the services of the routes are known, or zero.
func (s *Machine) HistoryFrom() uint64 { return s.history.from }

// HandleHistory includes the history of another balancer, whose table is not newer than the one in force.
func (s *Machine) HandleHistory(now time.Time, h desired.History) {
	if s.table != nil && h.From > 0 {
		s.history.merge(now, s.table.Version, h)
		s.epoch++
	}
}

// IsHistoryComplete reports whether this balancer knows every service at which a flow may be open.
func (s *Machine) IsHistoryComplete(now time.Time) bool { return s.history.isComplete(now) }

// canSearchAll reports whether a candidate search for an open flow includes every service at which it may be open. Without a complete
// history that is every service, and there may be too many.
func (s *Machine) canSearchAll(now time.Time) bool {
	return s.history.isComplete(now) || s.searchesAllServices()
}

// searchesAllServices reports whether a candidate search for an open flow continues through all services. Another balancer may have
// opened the flow by a newer table, which names a service that this balancer's tables do not name.
func (s *Machine) searchesAllServices() bool { return len(s.view.Services()) <= maxSearchedServices }

// mayBeOpening reports whether a flow whose opening packet is retransmitted may be open at a target that has not been searched: opening
// packets are only sent to the services that the route names now, and not to evacuated zones. If there are too many services, this covers the recent
// tables of this balancer, but not newer ones.
func (s *Machine) mayBeOpening(now time.Time, route *desired.Route, address flow.Endpoint) bool {
	if slices.ContainsFunc(route.Services, func(w desired.WeightedService) bool { return s.view.HasEvacuated(w.Service) }) {
		return true
	}
	if s.searchesAllServices() {
		return slices.ContainsFunc(s.view.Services(), func(service desired.ServiceKey) bool {
			return !slices.ContainsFunc(route.Services, func(w desired.WeightedService) bool {
				return w.Service == service && w.Weight > 0
			})
		})
	}
	isRecent := now.Sub(s.history.since) < openingHistory
	return isRecent || slices.ContainsFunc(s.history.previous[address], func(p previousService) bool { return now.Before(p.expiresAt) })
}

// appendUnnamedServices appends all services that are not in out, in a fixed order: a newer table, or an earlier one that is not known,
// may have named any of them for the route.
func (s *Machine) appendUnnamedServices(out []desired.ServiceKey) []desired.ServiceKey {
	if !s.searchesAllServices() {
		return out
	}
	named := out
	for _, service := range s.view.Services() {
		if !slices.Contains(named, service) {
			out = append(out, service)
		}
	}
	return out
}
