// Package proof contains property tests that run the state machines of balancers and agents together, without a network,
// through random histories of restarts, crashes, drains, reused addresses and stale views.
package proof

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/store"
)

// Names of the services. The only route leads to routedService, unless the history moves it.
const (
	routedService = "lines"
	otherService  = "archive"
)

// routeAddress is the address of the route.
var routeAddress = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// host is a VM with an agent and a target.
type host struct {
	ip      hop.IP
	service string
	zone    string
	agent   *resident.Machine
	// writer is the agent's state machine that writes the target's entry to the store.
	writer registry.Writer
	// joinedAt is when the entry that makes the target known was written.
	joinedAt    time.Time
	incarnation int64
	// sequence is that of the target's last heartbeat.
	sequence int64
	// flows are the flows that the target holds.
	flows map[flow.ID]bool
	// halfOpen are flows that the target accepted although their callers opened them with another target.
	halfOpen   map[flow.ID]bool
	isDraining bool
	hasLeft    bool
	// isCut is set while the VM is unreachable, and cutAt is the time since when. goneUntil is the time by which all balancers
	// have noticed that the VM is reachable again.
	isCut            bool
	cutAt, goneUntil time.Time
	// forbiddenOpeningPackets counts the opening packets that the target received although it drained, was of another service or in an evacuated
	// zone.
	forbiddenOpeningPackets int
}

// balancer is a balancer with its view of the targets.
type balancer struct {
	steer     *steer.Machine
	directory *directory.Directory
	// evacuations is what the balancer knows of the evacuations of zones.
	evacuations desired.Evacuations
	// revalidatedAt is when the balancer last read all targets from a settled store to revalidate its view.
	revalidatedAt time.Time
}

// simulation is a simulated deployment: the store, VMs, balancers and callers.
type simulation struct {
	t   *rapid.T
	now time.Time
	// revision and entries are the contents of the store, and backup is a copy of them.
	revision store.Version
	entries  map[hop.IP]storedEntry
	backup   backup
	// settledEra is the highest era in which every agent has checked its entry.
	settledEra     uint64
	hosts          []*host
	balancers      []*balancer
	lastCallerPort uint16
	// sentBytes is the number of bytes that callers have sent, so that each packet is a new request and no retransmission.
	sentBytes uint32
	// maxHosts bounds the number of VMs.
	maxHosts int
	// openFlows are the flows that callers have opened.
	openFlows []flow.ID
	// openings counts the opening packets of callers, and opening holds the sequence number of the one that opened a flow.
	openings uint32
	opening  map[flow.ID]uint32
	// unrouted are the flows whose route a table has removed.
	unrouted        map[flow.ID]bool
	openedAt        map[flow.ID]time.Time
	lastIncarnation int64
	// losesAnswers is set if the store does not answer some writes, and lateWrites are those writes.
	losesAnswers bool
	// tables are the versions of the routes, the newest one last.
	tables     []*desired.Table
	lateWrites []lateWrite
	// evacuated is the last change of the evacuation of each zone in the store. mustBeEmpty holds the zones whose evacuation every
	// balancer knows.
	evacuated   map[string]desired.Evacuation
	mustBeEmpty map[string]bool
	// endedFlows counts the flows that agents have ended because of a bounce or a refused connection.
	endedFlows int
}

type storedEntry struct {
	entry    registry.Entry
	revision store.Version
	// isForeign is set if another writer has replaced the entry by bytes that cannot be decoded.
	isForeign bool
}

// zones are the availability zones of targets and balancers.
var zones = []string{"quito", "ambato", "cuenca"}

// newSimulation returns a deployment with a random number of targets of the routed service, between least and most, one target
// of the other service and two balancers.
func newSimulation(t *rapid.T, least, most int) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_700_000_000, 0), entries: make(map[hop.IP]storedEntry),
		openedAt: make(map[flow.ID]time.Time), unrouted: make(map[flow.ID]bool), opening: make(map[flow.ID]uint32), maxHosts: 12, tables: []*desired.Table{newTable(1, routedService)},
	}
	for i := range rapid.IntRange(least, most).Draw(t, "targets") {
		s.addHost(byte(i+1), routedService)
	}
	s.addHost(200, otherService)
	for range 2 {
		s.balancers = append(s.balancers, s.newBalancer())
	}
	s.now = s.now.Add(registry.JoinDelay)
	return s
}

func (s *simulation) addHost(n byte, service string) {
	h := &host{ip: hop.IP{10, 1, 0, n}, service: service, zone: rapid.SampledFrom(zones).Draw(s.t, "zone")}
	s.hosts = append(s.hosts, h)
	s.startHost(h)
}

// startHost starts the agent of a VM and, after a random number of ticks, its target.
func (s *simulation) startHost(h *host) {
	s.startAgent(h)
	for range rapid.IntRange(0, 2*startTicks).Draw(s.t, "ticks before the target starts") {
		h.agent.Tick(s.now)
	}
	s.startTarget(h)
	s.sendHeartbeat(h)
}

// startTicks is the number of ticks after which the first heartbeat of a target proves that the target has started later than
// its agent.
const startTicks = 2 * resident.TicksPerHeartbeat

func (s *simulation) startAgent(h *host) {
	h.agent = resident.New(s.now, h.ip, h.service, flowLifetime)
	h.writer = registry.Writer{}
}

// startTarget starts a target, which sends no heartbeat yet.
func (s *simulation) startTarget(h *host) {
	s.lastIncarnation++
	h.incarnation, h.sequence = s.lastIncarnation, 0
	h.flows, h.halfOpen = make(map[flow.ID]bool), make(map[flow.ID]bool)
	h.isDraining, h.hasLeft = false, false
}

// flowLifetime is the age from which flows may be discarded. It is short, so that histories are long in comparison.
const flowLifetime = 10 * time.Second

// minEventInterval is the time between an event at an agent and the one before it.
const minEventInterval = time.Microsecond

// sendHeartbeat sends a heartbeat of a target to its agent. It reports whether the agent acknowledges it.
func (s *simulation) sendHeartbeat(h *host) bool {
	s.now = s.now.Add(minEventInterval)
	h.sequence++
	outcome := h.agent.HandleHeartbeat(s.now, resident.Heartbeat{
		Instance: instanceID(h), Started: h.incarnation, Sequence: h.sequence, Service: h.service,
		Zone: h.zone, Slots: 3, IsDraining: h.isDraining,
	})
	s.expectEndedNotHeld(outcome, "an agent reset a flow")
	s.writeEntry(h)
	return !outcome.IsUnconfirmed
}

func instanceID(h *host) string { return fmt.Sprint("i-", h.incarnation) }

// writeEntry writes the entry of a host's target to the store if it differs from what the store holds.
func (s *simulation) writeEntry(h *host) {
	h.writer.SetDesired(h.agent.Entry())
	next, wait := h.writer.Next(s.now)
	if !h.writer.IsUpToDate() && wait > 0 {
		s.now = s.now.Add(wait)
		next, _ = h.writer.Next(s.now)
	}
	if next == registry.Read {
		s.readEntry(h)
	}
	if h.writer.IsUpToDate() {
		return
	}
	entry, replaced := h.writer.NextWrite()
	if s.loseAnswer(h, entry, replaced) {
		return
	}
	s.revision++
	if joins := h.writer.NextWriteJoins(); joins {
		h.agent.SetJoining(s.now, true)
		h.joinedAt = s.now
	}
	if !h.writer.HadEntry() && s.settledEra == s.revision.Era() {
		h.agent.SetEntryCreated()
	}
	h.writer.HandleWritten(entry, s.revision)
	h.agent.SetJoining(s.now, false)
	s.entries[h.ip] = storedEntry{entry: entry, revision: s.revision}
}

// readEntry lets an agent read the entry of its target.
func (s *simulation) readEntry(h *host) {
	stored, ok := s.entries[h.ip]
	if !ok {
		stored.revision = store.Version(0).InEra(s.revision.Era())
	}
	var raw []byte
	var err error
	if ok {
		raw, err = stored.entry.Encode()
	}
	if stored.isForeign {
		raw = []byte("bytes of another writer")
	}
	if err == nil {
		err = h.writer.HandleRead(raw, stored.revision.InEra(s.revision.Era()))
	}
	if err != nil && !stored.isForeign {
		s.t.Fatal(err)
	}
}

func (s *simulation) newBalancer() *balancer {
	zone := rapid.SampledFrom(zones).Draw(s.t, "zone of a balancer")
	b := &balancer{steer: steer.New(hop.IP{10, 9, 0, 1}), directory: directory.New(hop.IP{10, 9, 0, 1}, zone)}
	newest := s.newestTable()
	b.steer.SetTableWithHistory(s.now, newest, desired.History{Version: newest.Version})
	s.learnEvacuations(b)
	s.revalidate(b)
	return b
}

// newTable returns a version of the routes: the only route leads to the named service.
func newTable(version uint64, service string) *desired.Table {
	table := desired.NewTable(version)
	table.AddRoute(routeAddress, &desired.Route{Name: "r", RunsOnce: true, Services: []desired.WeightedService{
		{Service: desired.ServiceKeyOf(service), Name: service, Weight: 1},
	}})
	return table
}

// isRouted reports whether the route leads or has led to a service.
func (s *simulation) isRouted(service string) bool {
	return slices.ContainsFunc(s.tables, func(t *desired.Table) bool {
		route := t.Route(routeAddress)
		return route != nil && route.HasService(desired.ServiceKeyOf(service))
	})
}

// applyEntries brings a balancer's view up to date with the store.
func (s *simulation) applyEntries(b *balancer) {
	listed := make(map[hop.IP]struct{}, len(s.entries))
	for ip, stored := range s.entries {
		listed[ip] = struct{}{}
		if stored.isForeign {
			b.directory.HandleUnreadable(s.now, ip, stored.revision.InEra(s.revision.Era()))
			continue
		}
		b.directory.HandleEntry(s.now, ip, stored.entry, stored.revision.InEra(s.revision.Era()))
	}
	b.directory.Retain(listed, s.revision)
	b.steer.SetView(b.directory.View())
}

// revalidate brings a balancer's view up to date with the store. It reports false, and the view does not count as revalidated,
// while the store may lack entries.
func (s *simulation) revalidate(b *balancer) bool {
	s.applyEntries(b)
	if s.settledEra < s.revision.Era() || b.directory.LacksTarget(s.now) {
		return false
	}
	b.revalidatedAt = s.now
	return true
}

func everyHost(*host) bool { return true }

// drawOnlyHost returns a filter that selects one random host.
func (s *simulation) drawOnlyHost() func(*host) bool {
	selected := s.drawHost()
	return func(h *host) bool { return h == selected }
}

// pingRepeatedly lets all balancers ping their agents for 4 s. The given balancer receives only the pongs of those hosts for
// which arrives returns true. No balancer receives pongs of hosts that are cut off.
func (s *simulation) pingRepeatedly(b *balancer, arrives func(*host) bool) {
	const step, length = 75 * time.Millisecond, 4 * time.Second
	for started := s.now; s.now.Sub(started) < length; s.now = s.now.Add(step) {
		for _, other := range s.balancers {
			if other == b {
				s.pingOnce(b, arrives)
			} else {
				s.pingOnce(other, everyHost)
			}
		}
	}
}

// pingOnce lets a balancer send the pings that are due. It receives the pongs of those hosts that are not cut off and for which
// arrives returns true.
func (s *simulation) pingOnce(b *balancer, arrives func(*host) bool) {
	for _, t := range b.directory.Targets() {
		b.directory.RecordUse(s.now, t.Agent)
	}
	s.sendNotices(b)
	pings, _ := b.directory.Tick(s.now)
	for _, p := range pings {
		if h := s.hostAt(p.Agent); h != nil && !h.isCut && arrives(h) {
			b.directory.HandlePong(s.now, p.Agent, p.Sequence)
		}
	}
	b.steer.SetView(b.directory.View())
}

// advanceTime advances the clock and lets all balancers send the pings that are due then.
func (s *simulation) advanceTime(length time.Duration) {
	s.now = s.now.Add(length)
	for _, b := range s.balancers {
		s.pingOnce(b, everyHost)
	}
}

const (
	// goneAfter is the time from which a balancer may consider an unreachable VM gone.
	goneAfter = 2 * time.Second
	// maxPingInterval bounds the time until a balancer pings such a VM again.
	maxPingInterval = 5 * time.Second
)

// mayCountAsGone reports whether a VM was unreachable for so long that balancers may consider it gone.
func (s *simulation) mayCountAsGone(h *host) bool {
	return h.isCut && s.now.Sub(h.cutAt) >= goneAfter || s.now.Before(h.goneUntil)
}

// expectNotHeld fails the test if a target has to serve a flow, unless its VM may count as gone. The message begins with the
// text what, which names the event that must not happen to a flow that is held.
func (s *simulation) expectNotHeld(id flow.ID, what string) {
	for _, h := range s.hosts {
		if s.mustServe(h, id) && !s.mayCountAsGone(h) {
			s.t.Fatalf("%s: the target at %[3]v still holds flow %[2]s", what, id, h.ip)
		}
	}
}

// checkEnded fails the test if an agent has ended a flow that a target holds.
func (s *simulation) checkEnded(outcome resident.Outcome, what string) {
	s.endedFlows += len(outcome.EndedFlows)
	s.expectEndedNotHeld(outcome, what)
}

// expectEndedNotHeld fails the test if an agent has reset a flow that a target holds. A reset of an earlier flow with the same ends does
// not count: the caller ignores a reset whose sequence number is not near the one that it has acknowledged.
func (s *simulation) expectEndedNotHeld(outcome resident.Outcome, what string) {
	for _, e := range outcome.EndedFlows {
		if distance := int32(e.Acknowledged - s.targetSequence(e.ID)); -flow.ResetWindow <= distance && distance <= flow.ResetWindow {
			s.expectNotHeld(e.ID, what)
		}
	}
}

// targetSequence returns the sequence number of the target in a flow. It differs between flows with the same ends.
func (s *simulation) targetSequence(id flow.ID) uint32 { return s.opening[id] * 1_000_000 }

// mustServe reports whether a target holds a flow and has to serve it: the target runs, the flow is younger than its lifetime, and no
// table has removed its route.
func (s *simulation) mustServe(h *host, id flow.ID) bool {
	return h.flows[id] && !h.hasLeft && s.now.Sub(s.openedAt[id]) < flowLifetime && !s.unrouted[id]
}

// deliveryResult is the outcome of a packet.
type deliveryResult struct {
	isReset bool
	// acceptedBy is the host whose target accepted the packet, or nil.
	acceptedBy *host
	// isLost is set when the packet was sent to a VM that is cut off, waits at an agent, or was dropped as a duplicate.
	isLost bool
}

// deliver carries a caller's packet from a balancer to its outcome.
func (s *simulation) deliver(b *balancer, p flow.Packet) deliveryResult {
	s.now = s.now.Add(minEventInterval)
	d := b.steer.Decide(s.now, &p)
	for step := 0; ; step++ {
		if step > 20 {
			s.t.Fatalf("a packet of flow %s is forwarded without end", p.IDFromCaller())
		}
		switch d.Verdict {
		case steer.Reset:
			if !p.Opens {
				s.expectNotHeld(p.IDFromCaller(), "a balancer reset a flow")
			}
			return deliveryResult{isReset: true}
		case steer.Revalidate, steer.ConfirmTable:
			var isConfirmed bool
			if d, isConfirmed = s.decideAgain(b, &p, d); !isConfirmed {
				return deliveryResult{isLost: true}
			}
			continue
		case steer.Drop:
			return deliveryResult{}
		}
		if d.HasSkipped {
			if acceptedBy, _, _ := s.searchCandidates(b, p, d.Skipped, d.SkippedHeader()); acceptedBy != nil {
				return deliveryResult{acceptedBy: acceptedBy}
			}
		}
		acceptedBy, returned, isLost := s.searchCandidates(b, p, d.Agent, d.Header)
		if acceptedBy != nil || isLost {
			s.checkOpenedService(b, &p, acceptedBy)
			return deliveryResult{acceptedBy: acceptedBy, isLost: isLost}
		}
		d = b.steer.HandleReturned(s.now, &p, &returned)
	}
}

// decideAgain lets a balancer read what it needs to decide again on a packet. It reports false if that is not possible now.
func (s *simulation) decideAgain(b *balancer, p *flow.Packet, d steer.Decision) (steer.Decision, bool) {
	if s.now.Sub(b.revalidatedAt) >= registry.JoinDelay && !s.revalidate(b) {
		return steer.Decision{}, false
	}
	if d.Verdict == steer.Revalidate {
		return b.steer.HandleRevalidated(s.now, p, &d.Header), true
	}
	if !s.confirmTable(b) {
		return steer.Decision{}, false
	}
	return b.steer.HandleTableConfirmed(s.now, p, &d.Header), true
}

// checkOpenedService fails the test if a target has accepted an opening packet although the table of its balancer does not name the
// service.
func (s *simulation) checkOpenedService(b *balancer, p *flow.Packet, acceptedBy *host) {
	if !p.Opens || acceptedBy == nil {
		return
	}
	if !b.steer.Table().Route(routeAddress).HasService(desired.ServiceKeyOf(acceptedBy.service)) {
		s.t.Fatalf("flow %s was opened at service %s, which the table of its balancer does not name", p.IDFromCaller(), acceptedBy.service)
	}
}

// searchCandidates carries a frame from agent to agent until a target accepts the packet or every candidate has declined it. In
// the latter case it returns the header with which the packet goes back to the balancer. It reports true when the packet was
// sent to a VM that is cut off, waits at an agent, or was dropped as a duplicate.
func (s *simulation) searchCandidates(b *balancer, p flow.Packet, agent hop.IP, h hop.Header) (*host, hop.Header, bool) {
	for {
		current := s.hostAt(agent)
		if current != nil && current.isCut {
			return nil, hop.Header{}, true
		}
		if current == nil {
			s.t.Fatalf("a packet was sent to %v, where no agent runs", agent)
		}
		d := current.agent.HandleCallerPacket(s.now, &p, &h)
		if d.NotifyOrigin {
			b.steer.SetLocation(s.now, p.IDFromCaller(), d.Opening, current.ip, desired.ServiceKeyOf(current.service))
		}
		if d.Verdict == resident.Deliver {
			if s.receiveAtTarget(current, p) {
				return current, hop.Header{}, false
			}
			bounced := p
			bounced.IsBounced, bounced.Mark = true, d.Mark
			d = current.agent.HandleTargetPacket(s.now, &bounced)
			s.checkEnded(current.agent.TakeEndedFlows(), "an agent reset a flow after a bounce")
		}
		switch d.Verdict {
		case resident.Wait:
			return nil, hop.Header{}, true
		case resident.ForwardNext:
			agent, h = d.Next, d.Header
		case resident.ReturnToBalancer:
			return nil, d.Header, false
		case resident.Drop:
			if h.IsDuplicate {
				return nil, hop.Header{}, true
			}
			s.t.Fatalf("an agent dropped a packet for reason %s: flow %s", d.Reason, p.IDFromCaller())
		default:
			s.t.Fatalf("unexpected verdict %s for flow %s", d.Verdict, p.IDFromCaller())
		}
	}
}

// receiveAtTarget hands a packet to a target and reports whether the target accepts it rather than bouncing it.
func (s *simulation) receiveAtTarget(h *host, p flow.Packet) bool {
	id := p.IDFromCaller()
	if p.Opens && !h.hasLeft {
		isCopy := p.Sequence == s.opening[id] && (h.flows[id] || h.halfOpen[id])
		if !s.isRouted(h.service) || (h.isDraining || s.mustBeEmpty[h.zone]) && !isCopy {
			h.forbiddenOpeningPackets++
		}
		h.flows[id] = true
		h.agent.HandleTargetPacket(s.now, &flow.Packet{Source: id.Address, Destination: id.Caller, Accepts: true})
		return true
	}
	if h.hasLeft || !h.flows[id] {
		return false
	}
	h.agent.HandleTargetPacket(s.now, &flow.Packet{Source: id.Address, Destination: id.Caller, Payload: 10, Sequence: s.targetSequence(id)})
	return true
}

func (s *simulation) hostAt(ip hop.IP) *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.ip == ip })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

func (s *simulation) drawHost() *host {
	return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, "host")]
}

func (s *simulation) drawBalancer() *balancer {
	return s.balancers[rapid.IntRange(0, len(s.balancers)-1).Draw(s.t, "balancer")]
}
