package route

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/member"
	"gentianswitch/internal/tables"
)

// candidate is a ready target of a pool.
type candidate struct {
	agent  netip.AddrPort
	zone   string
	seed   uint64
	weight float64
}

// group is the set of ready targets of one pool.
type group struct {
	service    uint16
	candidates []candidate
}

func newGroups(pools []tables.Pool, targets []member.Target) map[string]*group {
	byService := make(map[uint16]*group, len(pools))
	byPool := make(map[string]*group, len(pools))
	for _, p := range pools {
		g := &group{service: p.Service}
		byService[p.Service] = g
		byPool[p.Name] = g
	}
	for _, target := range targets {
		g := byService[target.Service]
		if g == nil || target.State != member.Ready {
			continue
		}
		g.candidates = append(g.candidates, newCandidate(target))
	}
	return byPool
}

func newCandidate(target member.Target) candidate {
	return candidate{
		agent:  target.Agent,
		zone:   target.Zone,
		seed:   xxhash.Sum64String(target.Agent.String()),
		weight: float64(target.Slots),
	}
}

// pick returns the first and the second candidate for a flow by weighted rendezvous hashing. The second one is of
// another availability zone when there is one, so that the loss of a zone leaves every flow a candidate.
func (g *group) pick(flow []byte) (first, second netip.AddrPort) {
	if g == nil || len(g.candidates) == 0 {
		return netip.AddrPort{}, netip.AddrPort{}
	}
	hash := xxhash.Sum64(flow)
	best := g.best(hash, func(candidate) bool { return true })
	zone := g.candidates[best].zone
	other := g.best(hash, func(c candidate) bool { return c.zone != zone })
	if other < 0 {
		agent := g.candidates[best].agent
		other = g.best(hash, func(c candidate) bool { return c.agent != agent })
	}
	if other >= 0 {
		second = g.candidates[other].agent
	}
	return g.candidates[best].agent, second
}

// best returns the index of the allowed candidate with the highest score, or -1.
func (g *group) best(hash uint64, isAllowed func(candidate) bool) int {
	found := -1
	top := math.Inf(-1)
	for i, c := range g.candidates {
		if !isAllowed(c) {
			continue
		}
		if s := score(hash, c); s > top {
			found, top = i, s
		}
	}
	return found
}

// score is the weighted rendezvous score: weight / -ln(u) for a uniform u drawn from the flow and the candidate.
func score(hash uint64, c candidate) float64 {
	const mantissaBits = 53
	u := (float64(mix(hash^c.seed)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return c.weight / -math.Log(u)
}

func mix(v uint64) uint64 {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], v)
	return xxhash.Sum64(raw[:])
}
