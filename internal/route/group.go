package route

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/member"
	"gentianswitch/internal/rendezvous"
)

// candidate is a ready target of a pool.
type candidate struct {
	agent  netip.AddrPort
	seed   uint64
	weight float64
}

func newCandidate(target member.Target) candidate {
	raw, _ := target.Agent.MarshalBinary()
	return candidate{agent: target.Agent, seed: xxhash.Sum64(raw), weight: float64(target.Slots)}
}

func compareCandidates(a, b candidate) int {
	if a.seed != b.seed {
		return cmp.Compare(a.seed, b.seed)
	}
	return a.agent.Compare(b.agent)
}

// zone holds the ready targets of one pool in one availability zone. It is immutable.
type zoneGroup struct {
	name   string
	seed   uint64
	weight float64
	// candidates are in the order of compareCandidates.
	candidates []candidate
	chooser    chooser
}

func newZoneGroup(name string, candidates []candidate, strategy Strategy) *zoneGroup {
	z := &zoneGroup{name: name, seed: xxhash.Sum64String(name), candidates: candidates, chooser: strategy.compile(candidates)}
	for i := range candidates {
		z.weight += candidates[i].weight
	}
	return z
}

// group is the set of ready targets of one pool. It is immutable, and groups share the zones that do not differ.
type targetGroup struct {
	// zones are in the order of their names.
	zones []*zoneGroup
}

// pick returns the first and the second candidate for a flow. A zone is chosen by weighted rendezvous hashing, a
// target in it by the strategy. The second candidate is of another zone when there is one, so that the loss of a zone
// leaves every flow a candidate.
func (g *targetGroup) selectCandidates(flow uint64) (first, second netip.AddrPort) {
	if g == nil || len(g.zones) == 0 {
		return netip.AddrPort{}, netip.AddrPort{}
	}
	firstZone, secondZone := g.topZones(flow)
	firstIndex := firstZone.chooser.choose(flow)
	first = firstZone.candidates[firstIndex].agent
	if secondZone != nil {
		return first, secondZone.candidates[secondZone.chooser.choose(flow)].agent
	}
	return first, firstZone.secondCandidate(flow, firstIndex)
}

// rank returns the two zones with the highest scores; the second is nil when there is one zone.
func (g *targetGroup) topZones(flow uint64) (first, second *zoneGroup) {
	if len(g.zones) == 1 {
		return g.zones[0], nil
	}
	var firstScore, secondScore float64
	for _, z := range g.zones {
		score := rendezvous.Score(flow, z.seed, z.weight)
		switch {
		case first == nil || score > firstScore:
			first, second, firstScore, secondScore = z, first, score, firstScore
		case second == nil || score > secondScore:
			second, secondScore = z, score
		}
	}
	return first, second
}

// another returns a candidate other than the chosen one, or the zero AddrPort.
func (z *zoneGroup) secondCandidate(flow uint64, firstIndex int) netip.AddrPort {
	if len(z.candidates) < 2 {
		return netip.AddrPort{}
	}
	draws := rendezvous.Sequence{State: flow}
	for range maxProbes {
		if i := z.chooser.choose(draws.Next()); i != firstIndex {
			return z.candidates[i].agent
		}
	}
	return z.candidates[(firstIndex+1)%len(z.candidates)].agent
}

// change is what becomes of the candidates of one zone.
type zoneChange struct {
	removed []netip.AddrPort
	added   []candidate
}

// with returns a group with the changes applied; it compiles only the zones that are named.
func (g *targetGroup) withChanges(changes map[string]*zoneChange, strategy Strategy) *targetGroup {
	next := &targetGroup{}
	if g != nil {
		next.zones = slices.Clone(g.zones)
	}
	for name, c := range changes {
		at, isKnown := slices.BinarySearchFunc(next.zones, name, func(z *zoneGroup, name string) int {
			return strings.Compare(z.name, name)
		})
		var present []candidate
		if isKnown {
			present = next.zones[at].candidates
			next.zones = slices.Delete(next.zones, at, at+1)
		}
		if remaining := c.apply(present); len(remaining) > 0 {
			next.zones = slices.Insert(next.zones, at, newZoneGroup(name, remaining, strategy))
		}
	}
	return next
}

// apply returns the candidates after the change. An agent that is added again replaces its old record.
func (c *zoneChange) apply(present []candidate) []candidate {
	dropped := make(map[netip.AddrPort]struct{}, len(c.removed)+len(c.added))
	for _, agent := range c.removed {
		dropped[agent] = struct{}{}
	}
	latest := make(map[netip.AddrPort]candidate, len(c.added))
	for _, a := range c.added {
		dropped[a.agent] = struct{}{}
		latest[a.agent] = a
	}
	remaining := make([]candidate, 0, len(present)+len(latest))
	for i := range present {
		if _, ok := dropped[present[i].agent]; !ok {
			remaining = append(remaining, present[i])
		}
	}
	if len(latest) == 0 {
		return remaining
	}
	for _, a := range latest {
		remaining = append(remaining, a)
	}
	slices.SortFunc(remaining, compareCandidates)
	return remaining
}
