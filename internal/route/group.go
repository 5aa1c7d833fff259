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
	agent netip.AddrPort
	// seed is the hash of the agent's address.
	seed uint64
	// weight is the number of slots of the target: the number of requests that it runs at once.
	weight float64
}

func newCandidate(target member.Target) candidate {
	raw, _ := target.Agent.MarshalBinary()
	return candidate{agent: target.Agent, seed: xxhash.Sum64(raw), weight: float64(target.Slots)}
}

// compareCandidates orders candidates by seed. The order depends only on the agents' addresses, so all balancers use the same
// one.
func compareCandidates(a, b candidate) int {
	if a.seed != b.seed {
		return cmp.Compare(a.seed, b.seed)
	}
	return a.agent.Compare(b.agent)
}

// zoneGroup is the set of ready targets of one pool in one availability zone. It is immutable.
type zoneGroup struct {
	name string
	// seed is the hash of the zone's name.
	seed uint64
	// weight is the sum of the weights of the candidates.
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

// targetGroup is the set of ready targets of one pool. It is immutable. A modified copy shares the zones that have not changed.
type targetGroup struct {
	// zones are ordered by name.
	zones []*zoneGroup
}

// selectCandidates returns the first and the second candidate for a flow. Weighted rendezvous hashing selects the zone, and the
// strategy a target in it. The second candidate is in another zone if there is one, so that every flow still has a candidate
// when a zone fails.
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

// topZones returns the two zones with the highest scores. The second is nil when there is only one zone.
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

// secondCandidate returns a candidate other than the first one, or the zero AddrPort when there is no other.
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

// zoneChange is a change of the candidates of one zone.
type zoneChange struct {
	removed []netip.AddrPort
	added   []candidate
}

// withChanges returns a copy of the group with the changes applied, by name of the zone. Only the changed zones are built
// again.
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

// apply returns the candidates after the change. An added candidate replaces one with the same agent.
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
