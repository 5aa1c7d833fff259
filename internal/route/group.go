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
type zone struct {
	name   string
	seed   uint64
	weight float64
	// candidates are in the order of compareCandidates.
	candidates []candidate
	chooser    chooser
}

func newZone(name string, candidates []candidate, strategy Strategy) *zone {
	z := &zone{name: name, seed: xxhash.Sum64String(name), candidates: candidates, chooser: strategy.compile(candidates)}
	for i := range candidates {
		z.weight += candidates[i].weight
	}
	return z
}

// group is the set of ready targets of one pool. It is immutable, and groups share the zones that do not differ.
type group struct {
	// zones are in the order of their names.
	zones []*zone
}

// pick returns the first and the second candidate for a flow. A zone is chosen by weighted rendezvous hashing, a
// target in it by the strategy. The second candidate is of another zone when there is one, so that the loss of a zone
// leaves every flow a candidate.
func (g *group) pick(flow uint64) (first, second netip.AddrPort) {
	if g == nil || len(g.zones) == 0 {
		return netip.AddrPort{}, netip.AddrPort{}
	}
	best, other := g.rank(flow)
	chosen := best.chooser.choose(flow)
	first = best.candidates[chosen].agent
	if other != nil {
		return first, other.candidates[other.chooser.choose(flow)].agent
	}
	return first, best.another(flow, chosen)
}

// rank returns the two zones with the highest scores; the second is nil when there is one zone.
func (g *group) rank(flow uint64) (best, other *zone) {
	if len(g.zones) == 1 {
		return g.zones[0], nil
	}
	var top, next float64
	for _, z := range g.zones {
		s := rendezvous.Score(flow, z.seed, z.weight)
		switch {
		case best == nil || s > top:
			best, other, top, next = z, best, s, top
		case other == nil || s > next:
			other, next = z, s
		}
	}
	return best, other
}

// another returns a candidate other than the chosen one, or the zero AddrPort.
func (z *zone) another(flow uint64, chosen int) netip.AddrPort {
	if len(z.candidates) < 2 {
		return netip.AddrPort{}
	}
	again := rendezvous.Sequence{State: flow}
	for range maxProbes {
		if i := z.chooser.choose(again.Next()); i != chosen {
			return z.candidates[i].agent
		}
	}
	return z.candidates[(chosen+1)%len(z.candidates)].agent
}

// change is what becomes of the candidates of one zone.
type change struct {
	removed []netip.AddrPort
	added   []candidate
}

// with returns a group with the changes applied; it compiles only the zones that are named.
func (g *group) with(changes map[string]*change, strategy Strategy) *group {
	next := &group{}
	if g != nil {
		next.zones = slices.Clone(g.zones)
	}
	for name, c := range changes {
		at, isKnown := slices.BinarySearchFunc(next.zones, name, func(z *zone, name string) int {
			return strings.Compare(z.name, name)
		})
		var present []candidate
		if isKnown {
			present = next.zones[at].candidates
			next.zones = slices.Delete(next.zones, at, at+1)
		}
		if left := c.apply(present); len(left) > 0 {
			next.zones = slices.Insert(next.zones, at, newZone(name, left, strategy))
		}
	}
	return next
}

// apply returns the candidates after the change. An agent that is added again replaces its old record.
func (c *change) apply(present []candidate) []candidate {
	dropped := make(map[netip.AddrPort]struct{}, len(c.removed)+len(c.added))
	for _, agent := range c.removed {
		dropped[agent] = struct{}{}
	}
	latest := make(map[netip.AddrPort]candidate, len(c.added))
	for _, a := range c.added {
		dropped[a.agent] = struct{}{}
		latest[a.agent] = a
	}
	left := make([]candidate, 0, len(present)+len(latest))
	for i := range present {
		if _, ok := dropped[present[i].agent]; !ok {
			left = append(left, present[i])
		}
	}
	if len(latest) == 0 {
		return left
	}
	for _, a := range latest {
		left = append(left, a)
	}
	slices.SortFunc(left, compareCandidates)
	return left
}
