package proof

import (
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/opaque/desired"
)

// evacuationActions returns the events of a history in which zones are evacuated and returned to service. Balancers learn that from the
// store or from each other, and agents from pings.
func (s *simulation) evacuationActions() map[string]func(*rapid.T) {
	actions := s.actions()
	actions["a zone is evacuated"] = func(*rapid.T) { s.writeEvacuation(true) }
	actions["a zone returns to service"] = func(*rapid.T) { s.writeEvacuation(false) }
	actions["a balancer learns the evacuations"] = func(*rapid.T) { s.learnEvacuations(s.drawBalancer()) }
	actions["a balancer tells an agent"] = func(*rapid.T) { s.reportEvacuation(s.drawBalancer(), s.drawHost()) }
	actions["the bound of the evacuations passes"] = func(*rapid.T) { s.completeEvacuations() }
	return actions
}

// writeEvacuation evacuates a random zone or returns it to service in the store.
func (s *simulation) writeEvacuation(isEvacuated bool) {
	zone := rapid.SampledFrom(zones).Draw(s.t, "zone")
	s.revision++
	if s.evacuated == nil {
		s.evacuated = make(map[string]desired.Evacuation)
	}
	s.evacuated[zone] = desired.Evacuation{Zone: zone, Version: s.revision, IsEvacuated: isEvacuated}
	delete(s.mustBeEmpty, zone)
}

// learnEvacuations lets a balancer read the complete list of the evacuations from the store.
func (s *simulation) learnEvacuations(b *balancer) {
	listed := make(map[string]struct{})
	for _, e := range s.evacuated {
		if !e.IsEvacuated {
			continue
		}
		listed[e.Zone] = struct{}{}
		if _, err := b.evacuations.Set(e); err != nil {
			s.t.Fatal(err)
		}
	}
	b.evacuations.Retain(s.now, listed, s.revision)
	b.directory.SetEvacuatedZones(s.now, b.evacuations.EvacuatedZones())
	b.steer.SetView(b.directory.View())
}

// reportEvacuation lets a balancer ping an agent, with what it knows of the evacuation of the agent's zone.
func (s *simulation) reportEvacuation(b *balancer, h *host) {
	if e := b.evacuations.Zone(h.zone); !h.isCut {
		h.agent.SetEvacuation(uint64(e.Version), e.IsEvacuated)
	}
}

// completeEvacuations lets all balancers learn the evacuations and ping all agents. From then on, no target of an evacuated zone may
// accept a new flow.
func (s *simulation) completeEvacuations() {
	for _, b := range s.balancers {
		s.learnEvacuations(b)
		for _, h := range s.hosts {
			s.reportEvacuation(b, h)
		}
	}
	s.mustBeEmpty = make(map[string]bool)
	for _, e := range s.evacuated {
		s.mustBeEmpty[e.Zone] = e.IsEvacuated
	}
	s.checkInServiceZones()
}

// checkInServiceZones fails the test if an agent declines new flows although its zone is in service.
func (s *simulation) checkInServiceZones() {
	for _, h := range s.hosts {
		if h.agent.IsEvacuated() && !s.mustBeEmpty[h.zone] && !h.isCut {
			s.t.Fatalf("the agent at %v declines new flows although its zone %s is in service", h.ip, h.zone)
		}
	}
}

// TestEvacuatedZonesReceiveNoNewFlows checks the properties of TestOpenFlowsReachTheirTargets while zones are evacuated and returned to
// service. It guards against a target of an evacuated zone that accepts a new flow, whatever starts or is cut off, against resets of
// the flows that stay open there, and against zones that are not used again.
func TestEvacuatedZonesReceiveNoNewFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 2, 8)
		runActions(t, s, s.evacuationActions())
	})
}
