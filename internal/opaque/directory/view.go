package directory

import (
	"cmp"
	"slices"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/rendezvous"
	"gentianswitch/internal/store"
)

// View is an immutable state of the directory, arranged for decisions on packets.
type View struct {
	pools  map[desired.ServiceKey]*pool
	agents map[hop.IP]Reachability
}

// pool holds the targets of a service, in the order in which they have joined.
type pool struct {
	candidates []Candidate
	// zones are the availability zones of the candidates.
	zones []string
	// silent is the number of candidates that do not answer.
	silent int
}

// Candidate is a target that a flow may be on.
type Candidate struct {
	Agent hop.IP
	Zone  string
	Seed  uint64
	// Slots is the weight without the preference of a zone, Weight the one for the balancer's zone.
	Slots, Weight float64
	IsDraining    bool
	State         Reachability
	// joined is the revision since which the target has been there, zone the place of its availability zone in the pool.
	joined store.Version
	zone   int
}

// Pool returns the targets of a service, in the order in which they have joined.
func (v *View) Pool(service desired.ServiceKey) []Candidate {
	if p := v.pools[service]; p != nil {
		return p.candidates
	}
	return nil
}

// IsKnown reports whether there is a target beside an agent.
func (v *View) IsKnown(agent hop.IP) bool {
	_, isKnown := v.agents[agent]
	return isKnown
}

// Len returns the number of targets.
func (v *View) Len() int { return len(v.agents) }

func (d *Directory) compile() {
	d.chooseMeetingPoints()
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
			p.silent++
		}
		slots := float64(max(t.Entry.Slots, 1))
		p.candidates = append(p.candidates, Candidate{
			Agent: t.Agent, Zone: t.Entry.Zone, Seed: t.seed, Slots: slots, Weight: slots * preference(d.zone, t.Entry.Zone),
			IsDraining: t.Entry.IsDraining, State: t.State,
			joined: t.Entry.JoinedAt(t.Revision), zone: p.zoneOf(t.Entry.Zone),
		})
	}
	for _, p := range pools {
		slices.SortFunc(p.candidates, func(a, b Candidate) int { return cmp.Compare(a.joined, b.joined) })
	}
	d.view = &View{pools: pools, agents: agents}
}

// zoneOf returns the place of an availability zone in the pool.
func (p *pool) zoneOf(zone string) int {
	if at := slices.Index(p.zones, zone); at >= 0 {
		return at
	}
	p.zones = append(p.zones, zone)
	return len(p.zones) - 1
}

// scored is a candidate and its place in the order for one flow.
type scored struct {
	agent     hop.IP
	candidate *Candidate
	score     float64
	tier      uint8
}

// PacketKind tells for which packets of a flow candidates are wanted.
type PacketKind uint8

// The audiences.
const (
	// OpenFlowPacket is for packets of a flow that may be open anywhere.
	OpenFlowPacket PacketKind = iota
	// OpeningPacket is for the first packet of a flow, which targets that drain do not get.
	OpeningPacket
	// RepeatedOpeningPacket is for a copy of it. The flow may be open already, so targets that drain come last.
	RepeatedOpeningPacket
)

// placedAmong is the number of first candidates, whatever their state, among which a flow is placed: one frame.
const placedAmong = hop.MaxCandidates

// Tiers of candidates after those that answer; the Reachability of the others is theirs.
const (
	tierDraining = uint8(Dead)
	tierDead     = uint8(Dead) + 1
)

// CandidateOrder appends to out the agents of a service in the order in which a flow is offered to them, without the first skip,
// up to the capacity of out. It also returns how many there are in all. The order follows from the flow, the set of
// targets and the balancer's zone alone, so that balancers of a zone with the same view agree. Targets that do not answer
// come last.
func (v *View) CandidateOrder(service desired.ServiceKey, flow uint64, to PacketKind, skip int, out []hop.IP) ([]hop.IP, int) {
	p := v.pools[service]
	if p == nil {
		return out, 0
	}
	var buffer [orderBuffer]scored
	var order []scored
	var total int
	if to == OpenFlowPacket {
		order, total = p.search(flow, skip+cap(out)-len(out), buffer[:0])
	} else {
		order = p.placement(flow, to, buffer[:0])
		total = len(order)
	}
	for i := skip; i < len(order) && len(out) < cap(out); i++ {
		out = append(out, order[i].agent)
	}
	return out, total
}

// placement returns the candidates for an opening.
func (p *pool) placement(flow uint64, to PacketKind, order []scored) []scored {
	var buffer [placedAmong]scored
	first := buffer[:0]
	for i := range p.candidates {
		c := &p.candidates[i]
		first = insert(first, placedAmong, scored{candidate: c, score: rendezvous.Score(flow, c.Seed, c.Weight)})
	}
	for _, s := range first {
		c := s.candidate
		if c.State == Gone || to == OpeningPacket && (c.IsDraining || c.State == Dead) {
			continue
		}
		s.agent, s.tier = c.Agent, uint8(c.State)
		switch {
		case c.State == Dead:
			s.tier = tierDead
		case c.IsDraining:
			s.tier = tierDraining
		}
		order = insert(order, placedAmong, s)
	}
	return order
}

// SkippedCandidate returns the first candidate of a flow when it does not answer, so that the order passes it over.
func (v *View) SkippedCandidate(service desired.ServiceKey, flow uint64) (hop.IP, bool) {
	p := v.pools[service]
	if p == nil || p.silent == 0 {
		return hop.IP{}, false
	}
	var first *Candidate
	top := 0.0
	for i := range p.candidates {
		c := &p.candidates[i]
		if score := rendezvous.Score(flow, c.Seed, c.Weight); first == nil || score > top {
			first, top = c, score
		}
	}
	return first.Agent, first.State == Suspect || first.State == Dead
}

// insert puts a candidate in its place in the order, unless it is behind all that are wanted.
func insert(order []scored, wanted int, c scored) []scored {
	if wanted == 0 {
		return order
	}
	if len(order) == wanted {
		if compareScored(order[wanted-1], c) <= 0 {
			return order
		}
		order = order[:wanted-1]
	}
	at := len(order)
	order = append(order, c)
	for ; at > 0 && compareScored(c, order[at-1]) < 0; at-- {
		order[at] = order[at-1]
	}
	order[at] = c
	return order
}

// orderBuffer is the number of ranked candidates up to which an order needs no allocation: eight frames.
const orderBuffer = 64

func compareScored(a, b scored) int {
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

// localPreference is the weight of targets in the balancer's own availability zone. Traffic between zones costs money and
// a millisecond; a higher weight overloads zones with few targets.
const localPreference = 2

// preference returns the factor on the weight of a target for the balancers of a zone.
func preference(balancers, target string) float64 {
	if balancers == target {
		return localPreference
	}
	return 1
}
