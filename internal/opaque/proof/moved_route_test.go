package proof

import (
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
)

// movedRouteActions returns the events of a history in which the route moves between services. All balancers apply the move at
// once. They learn of it from the store or from each other, with or without the versions between.
func (s *simulation) movedRouteActions() map[string]func(*rapid.T) {
	actions := s.actions()
	actions["the route moves"] = func(*rapid.T) { s.moveRoute(); s.applyNewestTable() }
	actions["the route moves twice"] = func(*rapid.T) {
		s.moveRoute()
		reader := s.drawBalancer()
		s.applyNextTable(reader)
		s.openFlowThrough(reader)
		s.moveRoute()
		s.applyNewestTable()
	}
	actions["a balancer fetches from another"] = func(*rapid.T) { s.fetchTable(s.drawBalancer(), s.drawBalancer()) }
	return actions
}

// laggingActions returns the events of a history in which balancers apply the moves of the route at different times.
func (s *simulation) laggingActions() map[string]func(*rapid.T) {
	actions := s.actions()
	actions["the route moves"] = func(*rapid.T) { s.moveRoute() }
	actions["a balancer applies the next table"] = func(*rapid.T) { s.applyNextTable(s.drawBalancer()) }
	actions["a minute passes"] = func(*rapid.T) { s.advanceTime(flow.Lifetime) }
	return actions
}

// removedRouteActions returns the events of a history in which the route is removed and added again, and balancers apply that at
// different times.
func (s *simulation) removedRouteActions() map[string]func(*rapid.T) {
	actions := s.laggingActions()
	actions["the route is removed"] = func(*rapid.T) { s.removeRoute() }
	actions["the route is added again"] = func(*rapid.T) {
		s.removeRoute()
		s.tables = append(s.tables, newTable(uint64(len(s.tables)+1), routedService))
		ahead := s.drawBalancer()
		for s.applyNextTable(ahead) {
		}
		s.openFlowThrough(ahead)
	}
	return actions
}

// removeRoute adds a version without the route. No target has to serve the flows that are open by then.
func (s *simulation) removeRoute() {
	s.tables = append(s.tables, desired.NewTable(uint64(len(s.tables)+1)))
	for _, id := range s.openFlows {
		s.unrouted[id] = true
	}
}

func (s *simulation) newestTable() *desired.Table { return s.tables[len(s.tables)-1] }

// confirmTable lets a balancer read the newest table from the store. It reports false if the table in force was an older one.
func (s *simulation) confirmTable(b *balancer) bool {
	if b.steer.Table().Version == s.newestTable().Version {
		return true
	}
	if rapid.Bool().Draw(s.t, "a balancer reads the table itself") {
		for s.applyNextTable(b) {
		}
		return true
	}
	return false
}

// moveRoute adds a version of the routes in which the route leads to the other service.
func (s *simulation) moveRoute() {
	service := routedService
	if route := s.newestTable().Route(routeAddress); route != nil && route.HasService(desired.ServiceKeyOf(routedService)) {
		service = otherService
	}
	s.tables = append(s.tables, newTable(uint64(len(s.tables)+1), service))
}

// applyNewestTable lets each balancer apply the newest table: in sequence, from a read of the store that misses versions, or from
// another balancer.
func (s *simulation) applyNewestTable() {
	for _, b := range s.balancers {
		for rapid.Bool().Draw(s.t, "a balancer watches the store") && s.applyNextTable(b) {
		}
		if rapid.Bool().Draw(s.t, "a balancer fetches from another") {
			s.fetchTable(b, s.drawBalancer())
		}
		newest := s.newestTable()
		b.steer.SetTableWithHistory(s.now, newest, desired.History{Version: newest.Version})
	}
}

// applyNextTable lets a balancer apply the table that follows the one in force. It reports false if there is none.
func (s *simulation) applyNextTable(b *balancer) bool {
	next := int(b.steer.Table().Version)
	return next < len(s.tables) && b.steer.SetTable(s.now, s.tables[next])
}

// fetchTable lets a balancer fetch the table and the history of another one.
func (s *simulation) fetchTable(b, from *balancer) {
	h := from.steer.History(s.now)
	if !b.steer.SetTableWithHistory(s.now, from.steer.Table(), h) {
		b.steer.HandleHistory(s.now, h)
	}
}

// TestOpenFlowsOutlastMovesOfTheirRoute checks the properties of TestOpenFlowsReachTheirTargets while the route moves between
// services. It guards against resets by balancers that started after the move, or that have missed versions of the routes.
func TestOpenFlowsOutlastMovesOfTheirRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, 4)
		runActions(t, s, s.movedRouteActions())
	})
}

// TestOpenFlowsOutlastMovesThatSomeBalancersApplyLater checks the same. It guards against resets by a balancer whose routes are
// older than those with which the flow was opened.
func TestOpenFlowsOutlastMovesThatSomeBalancersApplyLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, 4)
		runActions(t, s, s.laggingActions())
	})
}

// TestFlowsFromPortsUsedAgainAreNewFlows checks the same while callers use their ports again, the route moves and targets drain. It guards
// against new flows that are opened where an earlier one with the same ends was.
func TestFlowsFromPortsUsedAgainAreNewFlows(t *testing.T) {
	setHistoryCount(t, frequentFaultHistories)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, 4)
		actions := s.movedRouteActions()
		actions["a caller uses a port again"] = func(*rapid.T) { s.usePortAgain() }
		runActions(t, s, actions)
	})
}

// TestOpenFlowsOutlastRoutesThatAreAddedAgain checks the same while the route is removed and added again. It guards against resets by a
// balancer whose table lacks the route, because it does not have the newer one yet.
func TestOpenFlowsOutlastRoutesThatAreAddedAgain(t *testing.T) {
	setHistoryCount(t, frequentFaultHistories)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1, 4)
		runActions(t, s, s.removedRouteActions())
	})
}
