package crest

import (
	"math"
	"strconv"
	"time"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/store"
)

const (
	serviceName = "service"
	// storeReadTime is the time that a revalidation takes when it reads the targets from the store.
	storeReadTime = 8 * time.Millisecond
)

// balancer is a simulated balancer that decides with the production code. startCount distinguishes its starts, lastReadAt is
// when it began the last store read that has ended.
type balancer struct {
	sim        *simulation
	ip         hop.IP
	zone       int
	isUp       bool
	startCount int
	steer      *steer.Machine
	directory  *directory.Directory
	lastReadAt time.Duration
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }

// start starts the balancer with the entries in the store.
func (b *balancer) start() {
	s := b.sim
	b.isUp = true
	b.startCount++
	b.steer, b.directory = steer.New(b.ip), directory.New(b.ip, zoneName(b.zone))
	table := desired.NewTable(1)
	for i := range s.profile.Classes {
		c := &s.profile.Classes[i]
		table.AddRoute(routeAddress(i), &desired.Route{
			Name: c.Name, Objective: c.Objective, Deadline: c.Deadline, Priority: c.Priority,
			Services: []desired.WeightedService{{Service: desired.ServiceKeyOf(serviceName), Name: serviceName, Weight: 1}},
		})
	}
	b.steer.SetTable(s.wallTime(), table)
	for _, h := range s.hosts {
		b.handleEntry(h)
	}
	b.lastReadAt = s.now
	start := b.startCount
	s.scheduleEvery(directory.TickInterval, func() bool { return b.tick(start) })
}

// handleEntry handles the store's entry of a target. A target with revision 0 has no entry yet.
func (b *balancer) handleEntry(h *host) {
	if b.isUp && h.revision > 0 {
		b.directory.HandleEntry(b.sim.wallTime(), h.ip, h.entry, store.Version(h.revision))
		b.steer.SetView(b.directory.View())
	}
}

// tick pings agents. It reports false when the balancer has stopped or was restarted since the given start.
func (b *balancer) tick(start int) bool {
	s := b.sim
	if !b.isUp || b.startCount != start {
		return false
	}
	pings, _ := b.directory.Tick(s.wallTime())
	b.steer.SetView(b.directory.View())
	for _, p := range pings {
		h := s.hostByIP(p.Agent)
		s.scheduleAfter(2*s.profile.VMDelay, func() {
			if h.isAgentUp && b.isUp && b.startCount == start {
				b.directory.HandlePong(s.wallTime(), p.Agent, p.Sequence)
				b.steer.SetView(b.directory.View())
			}
		})
	}
	return s.now < s.endTime
}

// pickBalancer returns a random balancer of a zone for a caller's packet, preferably one that is up.
func (s *simulation) pickBalancer(zone int) *balancer {
	var own, up []*balancer
	for _, b := range s.balancers {
		if b.zone == zone {
			own = append(own, b)
			if b.isUp {
				up = append(up, b)
			}
		}
	}
	if len(up) > 0 {
		own = up
	}
	return own[s.random.IntN(len(own))]
}

func (b *balancer) handleCallerPacket(p *flow.Packet) {
	if b.isUp {
		b.execute(p, b.steer.Decide(b.sim.wallTime(), p))
	}
}

func (b *balancer) execute(p *flow.Packet, d steer.Decision) {
	s := b.sim
	switch d.Verdict {
	case steer.Forward:
		b.directory.RecordUse(s.wallTime(), d.Agent, d.Header.Candidates[:d.Header.CandidateCount]...)
		if d.HasSkipped {
			h := d.SkippedHeader()
			s.sendToAgent(d.Skipped, b.zone, p, &h)
		}
		if s.policy == Arrival && p.Opens {
			// Agents serve flows in the order of arrival when all have the same priority and an objective that none can miss.
			d.Header.MustAccept, d.Header.PriorityOffset, d.Header.Objective = true, 0, math.MaxUint16
		}
		s.sendToAgent(d.Agent, b.zone, p, &d.Header)
	case steer.Reset:
		s.scheduleAfter(s.profile.CallerDelay, func() { s.resetFlow(p.IDFromCaller()) })
	case steer.Revalidate, steer.ConfirmTable:
		// The table of the simulation never changes, so it is current.
		b.revalidate(p, d.Header)
	case steer.Drop:
	}
}

// revalidate continues with a packet once the view of the targets is fresh. After a recent store read it continues at once;
// otherwise it reads the store first.
func (b *balancer) revalidate(p *flow.Packet, h hop.Header) {
	s := b.sim
	if s.now-b.lastReadAt < registry.JoinDelay {
		b.execute(p, b.steer.HandleTableConfirmed(s.wallTime(), p, &h))
		return
	}
	readAt := s.now
	s.scheduleAfter(storeReadTime, func() {
		if b.isUp {
			b.lastReadAt = readAt
			b.execute(p, b.steer.HandleTableConfirmed(s.wallTime(), p, &h))
		}
	})
}

// handleAgentPacket handles a packet that an agent has returned or refused.
func (b *balancer) handleAgentPacket(p *flow.Packet, h *hop.Header) {
	if !b.isUp {
		return
	}
	if h.Kind == hop.Refused {
		b.execute(p, b.steer.HandleRefused(p, h))
		return
	}
	b.execute(p, b.steer.HandleReturned(b.sim.wallTime(), p, h))
}

func (s *simulation) resetFlow(id flow.ID) {
	if c := s.callers[id]; c != nil {
		c.handleReset()
	}
}

// sendToAgent sends a packet with its header from a zone to an agent.
func (s *simulation) sendToAgent(agent hop.IP, zone int, p *flow.Packet, h *hop.Header) {
	to, header := s.hostByIP(agent), *h
	s.scheduleAfter(s.delayBetween(zone, to.zone), func() { to.handleBalancerPacket(p, &header) })
}

// intraZoneDelay is the one-way delay between VMs of one availability zone, unless VMDelay is shorter.
const intraZoneDelay = 200 * time.Microsecond

func (s *simulation) delayBetween(from, to int) time.Duration {
	if from == to {
		return min(intraZoneDelay, s.profile.VMDelay)
	}
	return s.profile.VMDelay
}

func (s *simulation) hostByIP(ip hop.IP) *host { return s.hosts[hostIndex(ip)] }

func (s *simulation) balancerByIP(ip hop.IP) *balancer { return s.balancers[int(ip[3])-1] }
