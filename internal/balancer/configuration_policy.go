package balancer

import (
	"net/netip"

	"gentianswitch/internal/control"
)

// policyFor returns the policy that the tables in force declare for the pool of an agent's target, or nil when no pool
// has the target's service.
func (b *Balancer) policyFor(agent netip.AddrPort) *control.PoolPolicy {
	b.state.mu.Lock()
	defer b.state.mu.Unlock()
	target, isKnown := b.state.targets[agent]
	if !isKnown {
		return nil
	}
	for _, p := range b.state.configuration.Tables().Pools {
		if p.Service == target.Service {
			return &control.PoolPolicy{
				Revision: b.state.configuration.ID().Number, ShortReserve: p.ShortReserve, QueueLimit: p.QueueLimit,
				DefaultDeadline: p.DefaultDeadline,
			}
		}
	}
	return nil
}
