package directory

import (
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/rendezvous"
)

// View is an immutable state of the directory, arranged for decisions on packets.
type View struct {
	// Epoch changes with the view.
	Epoch  uint16
	pools  map[desired.ServiceKey][]Candidate
	agents map[hop.IP]Reachability
}

// Candidate is a target that a flow may be on.
type Candidate struct {
	Agent      hop.IP
	Zone       string
	Seed       uint64
	Weight     float64
	IsDraining bool
	State      Reachability
}

// Pool returns the targets of a service, in an order without meaning.
func (v *View) Pool(service desired.ServiceKey) []Candidate { return v.pools[service] }

// IsUsable reports whether a packet may be sent to an agent: it is known and not dead.
func (v *View) IsUsable(agent hop.IP) bool {
	state, isKnown := v.agents[agent]
	return isKnown && state != Dead
}

// Len returns the number of targets.
func (v *View) Len() int { return len(v.agents) }

func (d *Directory) compile() {
	d.choosePinged()
	pools := make(map[desired.ServiceKey][]Candidate)
	isIsolated := d.isIsolated()
	agents := make(map[hop.IP]Reachability, len(d.targets))
	for _, t := range d.targets {
		state := t.State
		if state == Dead && isIsolated {
			state = Suspect
		}
		agents[t.Agent] = state
		pools[t.service] = append(pools[t.service], Candidate{
			Agent: t.Agent, Zone: t.Entry.Zone, Seed: t.seed, Weight: float64(max(t.Entry.Slots, 1)) * d.preference(t.Entry.Zone),
			IsDraining: t.Entry.IsDraining, State: state,
		})
	}
	d.view = &View{pools: pools, agents: agents}
}

// isIsolated reports whether no agent has answered for so long that one would be dead. Then this balancer is rather cut off
// itself, and no flow counts as lost.
func (d *Directory) isIsolated() bool { return d.now.Sub(d.answeredAt) >= deadAfter }

// choosePinged chooses the agents that are pinged without a packet: other ones for each balancer.
func (d *Directory) choosePinged() {
	var buffer [alwaysPinged]scored
	order := buffer[:0]
	for _, t := range d.targets {
		t.isAlwaysPinged = false
		if t.State == Reachable {
			order = insert(order, alwaysPinged, scored{agent: t.Agent, score: rendezvous.Score(d.seed, t.seed, 1)})
		}
	}
	for _, c := range order {
		d.targets[c.agent].isAlwaysPinged = true
	}
}

// scored is a candidate and its place in the order for one flow.
type scored struct {
	agent hop.IP
	score float64
	tier  uint8
}

// Audience tells for which packets of a flow candidates are wanted.
type Audience uint8

// The audiences.
const (
	// OpenFlow is for packets of a flow that may be open anywhere.
	OpenFlow Audience = iota
	// NewFlow is for the first packet of a flow, which targets that drain do not get.
	NewFlow
	// RepeatedOpening is for a copy of it. The flow may be open already, so targets that drain come last.
	RepeatedOpening
)

// Order appends to out the agents of a service in the order in which a flow is offered to them, without the first skip,
// up to the capacity of out. It also returns how many there are in all. The order follows from the flow, the set of
// targets and the balancer's zone alone, so that balancers of a zone with the same view agree. Targets that do not answer come last.
func (v *View) Order(service desired.ServiceKey, flow uint64, to Audience, skip int, out []hop.IP) ([]hop.IP, int) {
	pool := v.pools[service]
	var buffer [orderBuffer]scored
	order, wanted := buffer[:0], skip+cap(out)-len(out)
	total := 0
	var nearest threshold
	for i := range pool {
		c := &pool[i]
		if c.State == Dead || to == NewFlow && c.IsDraining {
			continue
		}
		score := rendezvous.Score(flow, c.Seed, c.Weight)
		if c.State == Suspect && score < nearest.score(pool, flow) {
			continue
		}
		tier := uint8(c.State)
		if to == RepeatedOpening && c.IsDraining {
			tier = uint8(Dead)
		}
		total++
		ranked := scored{agent: c.Agent, score: score, tier: tier}
		order = insert(order, wanted, ranked)
	}
	for i := skip; i < len(order); i++ {
		out = append(out, order[i].agent)
	}
	return out, total
}

// nearCandidates is the number of first candidates among which a flow is placed: one frame. It goes further only when all
// of these decline it.
const nearCandidates = hop.MaxCandidates

// threshold is the score of the last of the nearCandidates, once it has been asked for.
type threshold struct {
	value   float64
	isKnown bool
}

// score returns the lowest score of the first candidates of a flow, whatever their state. A packet sent to an agent that
// does not answer is lost; so a flow is not looked for at such an agent when it is not placed there. Its caller, whose flow
// has ended elsewhere, is told at once.
func (t *threshold) score(pool []Candidate, flow uint64) float64 {
	if t.isKnown {
		return t.value
	}
	var buffer [nearCandidates]scored
	order := buffer[:0]
	for i := range pool {
		order = insert(order, nearCandidates, scored{score: rendezvous.Score(flow, pool[i].Seed, pool[i].Weight)})
	}
	t.value, t.isKnown = order[len(order)-1].score, true
	return t.value
}

// insert puts a candidate in its place in the order, unless it is behind all that are wanted.
func insert(order []scored, wanted int, c scored) []scored {
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

func (d *Directory) preference(zone string) float64 {
	if zone == d.zone {
		return localPreference
	}
	return 1
}
