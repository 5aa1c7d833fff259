package directory

import (
	"cmp"
	"maps"
	"slices"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/rendezvous"
	"gentianswitch/internal/store"
)

// View is an immutable snapshot of the directory, arranged for decisions on packets.
type View struct {
	pools map[desired.ServiceKey]*pool
	// services are the keys of pools in ascending order.
	services []desired.ServiceKey
	agents   map[hop.IP]Reachability
}

// pool holds the targets of a service, in the order in which they joined.
type pool struct {
	candidates []Candidate
	// zones are the availability zones of the candidates.
	zones []string
	// silentCount is the number of candidates whose agents are in another state than Reachable.
	silentCount int
}

// Candidate is a target that may hold a flow or receive a new one.
type Candidate struct {
	Agent hop.IP
	Zone  string
	// Seed is the hash of the agent's address.
	Seed uint64
	// Slots is the number of slots of the target, at least one. Weight is its weight for this balancer: the number of slots,
	// times localZoneFactor for a target in the balancer's zone.
	Slots, Weight float64
	IsDraining    bool
	// IsEvacuated is set while the availability zone of the target is evacuated.
	IsEvacuated bool
	State       Reachability
	// joinedAt is the version of the store at which the target joined. zoneIndex is the index of its availability zone in the
	// pool's zones.
	joinedAt  store.Version
	zoneIndex int
}

// Pool returns the targets of a service, in the order in which they joined.
func (v *View) Pool(service desired.ServiceKey) []Candidate {
	if p := v.pools[service]; p != nil {
		return p.candidates
	}
	return nil
}

// IsEvacuated reports whether a service has targets and all of them are in evacuated zones.
func (v *View) IsEvacuated(service desired.ServiceKey) bool {
	candidates := v.Pool(service)
	return len(candidates) > 0 && !slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.IsEvacuated })
}

// HasEvacuated reports whether a service has a target in an evacuated zone.
func (v *View) HasEvacuated(service desired.ServiceKey) bool {
	return slices.ContainsFunc(v.Pool(service), func(c Candidate) bool { return c.IsEvacuated })
}

// Services returns the services that have targets, in ascending order.
func (v *View) Services() []desired.ServiceKey { return v.services }

// IsKnown reports whether there is a target beside an agent.
func (v *View) IsKnown(agent hop.IP) bool {
	_, isKnown := v.agents[agent]
	return isKnown
}

// Len returns the number of targets.
func (v *View) Len() int { return len(v.agents) }

// rebuildView replaces the view, and chooses the hubs again, after a change of a target.
func (d *Directory) rebuildView() {
	d.chooseHubs()
	pools := make(map[desired.ServiceKey]*pool)
	agents := make(map[hop.IP]Reachability, len(d.targets))
	for _, t := range d.targets {
		agents[t.Agent] = t.State
		p := pools[t.service]
		if p == nil {
			p = &pool{}
			pools[t.service] = p
		}
		if t.State != Reachable {
			p.silentCount++
		}
		slots := float64(max(t.Entry.Slots, 1))
		p.candidates = append(p.candidates, Candidate{
			Agent: t.Agent, Zone: t.Entry.Zone, Seed: t.seed, Slots: slots, Weight: slots * zoneFactor(d.zone, t.Entry.Zone),
			IsDraining: t.Entry.IsDraining, IsEvacuated: d.isEvacuated(t), State: t.State,
			joinedAt: t.Entry.JoinVersion(t.Revision), zoneIndex: p.indexOfZone(t.Entry.Zone),
		})
	}
	for _, p := range pools {
		slices.SortFunc(p.candidates, func(a, b Candidate) int { return cmp.Compare(a.joinedAt, b.joinedAt) })
	}
	d.view = &View{pools: pools, services: slices.Sorted(maps.Keys(pools)), agents: agents}
}

// indexOfZone returns the index of an availability zone in the pool's zones. It appends a zone that is not there yet.
func (p *pool) indexOfZone(zone string) int {
	if at := slices.Index(p.zones, zone); at >= 0 {
		return at
	}
	p.zones = append(p.zones, zone)
	return len(p.zones) - 1
}

// rankedCandidate is a candidate in an order. Candidates of a lower tier come first, and within a tier those of a higher score.
// The field candidate is set only while a placement order is built.
type rankedCandidate struct {
	agent     hop.IP
	candidate *Candidate
	score     float64
	tier      uint8
}

// PacketKind is the kind of a packet for which candidates are ordered.
type PacketKind uint8

// The kinds of packets.
const (
	// OpenFlowPacket is a packet of a flow that may be open at any target.
	OpenFlowPacket PacketKind = iota
	// OpeningPacket is the first copy of a packet that opens a flow. Draining targets do not get it.
	OpeningPacket
	// RetransmittedOpeningPacket is a later copy of such a packet. The flow may be open already, so draining targets and
	// targets with dead agents are tried too, last.
	RetransmittedOpeningPacket
)

// maxPlacementRank is the number of leading candidates among which a flow is placed: as many as a frame holds. They are chosen
// without regard to their states, so that searchOrder knows where a flow cannot be.
const maxPlacementRank = hop.MaxCandidates

// Tiers of draining targets and of targets with dead agents, for opening packets. Draining targets come after suspect ones and
// before dead ones. The tier of any other target is the Reachability of its agent.
const (
	tierDraining = uint8(Dead)
	tierDead     = uint8(Dead) + 1
)

// CandidateOrder appends to out the agents of a service in the order in which a packet of a flow is sent to them. It leaves out
// the first skip agents of the order, and fills out at most to its capacity. It also returns the length of the whole order. The
// order depends only on the hash of the flow, the view, the balancer's zone and the kind of the packet. So balancers of a zone
// with the same view use the same order. Agents that do not answer come last.
func (v *View) CandidateOrder(
	service desired.ServiceKey, flowHash uint64, kind PacketKind, skip int, out []hop.IP,
) ([]hop.IP, int) {
	p := v.pools[service]
	if p == nil {
		return out, 0
	}
	var buffer [orderBufferSize]rankedCandidate
	var order []rankedCandidate
	var total int
	if kind == OpenFlowPacket {
		order, total = p.searchOrder(flowHash, skip+cap(out)-len(out), buffer[:0])
	} else {
		order = p.placementOrder(flowHash, kind, buffer[:0])
		total = len(order)
	}
	for i := skip; i < len(order) && len(out) < cap(out); i++ {
		out = append(out, order[i].agent)
	}
	return out, total
}

// placementOrder appends the candidates for an opening packet to order, which is empty: those of the first maxPlacementRank
// whose state and kind of packet permit it.
func (p *pool) placementOrder(flowHash uint64, kind PacketKind, order []rankedCandidate) []rankedCandidate {
	var buffer [maxPlacementRank]rankedCandidate
	first := buffer[:0]
	for i := range p.candidates {
		c := &p.candidates[i]
		first = insertRanked(first, maxPlacementRank,
			rankedCandidate{candidate: c, score: rendezvous.Score(flowHash, c.Seed, c.Weight)})
	}
	for _, s := range first {
		c := s.candidate
		if c.State == Gone || c.IsEvacuated || kind == OpeningPacket && (c.IsDraining || c.State == Dead) {
			continue
		}
		s.agent, s.tier = c.Agent, uint8(c.State)
		switch {
		case c.State == Dead:
			s.tier = tierDead
		case c.IsDraining:
			s.tier = tierDraining
		}
		order = insertRanked(order, maxPlacementRank, s)
	}
	return order
}

// SkippedCandidate returns the candidate that would be first for a flow if all agents were reachable. It reports true when that
// candidate is skipped: its agent is suspect or dead, so that CandidateOrder puts reachable agents first. A gone agent is sent
// no packets and is not reported.
func (v *View) SkippedCandidate(service desired.ServiceKey, flowHash uint64) (hop.IP, bool) {
	p := v.pools[service]
	if p == nil || p.silentCount == 0 {
		return hop.IP{}, false
	}
	var first *Candidate
	topScore := 0.0
	for i := range p.candidates {
		c := &p.candidates[i]
		if score := rendezvous.Score(flowHash, c.Seed, c.Weight); first == nil || score > topScore {
			first, topScore = c, score
		}
	}
	return first.Agent, first.State == Suspect || first.State == Dead
}

// insertRanked inserts a candidate into a sorted order, and cuts the order off after the wanted number of candidates.
func insertRanked(order []rankedCandidate, wanted int, c rankedCandidate) []rankedCandidate {
	if wanted == 0 {
		return order
	}
	if len(order) == wanted {
		if compareRanked(order[wanted-1], c) <= 0 {
			return order
		}
		order = order[:wanted-1]
	}
	at := len(order)
	order = append(order, c)
	for ; at > 0 && compareRanked(c, order[at-1]) < 0; at-- {
		order[at] = order[at-1]
	}
	order[at] = c
	return order
}

// orderBufferSize is the number of candidates up to which an order needs no allocation: those of eight frames.
const orderBufferSize = 64

// compareRanked returns a negative number when a comes before b, and a positive one when it comes after b.
func compareRanked(a, b rankedCandidate) int {
	switch {
	case a.tier != b.tier:
		return int(a.tier) - int(b.tier)
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	default:
		return 0
	}
}

// localZoneFactor is the factor on the weight of targets in the balancer's own availability zone. Traffic between zones costs
// money and a millisecond; a higher factor overloads zones with few targets.
const localZoneFactor = 2

// zoneFactor returns the factor on the weight of a target for the balancers of an availability zone.
func zoneFactor(balancerZone, targetZone string) float64 {
	if balancerZone == targetZone {
		return localZoneFactor
	}
	return 1
}
