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

// newPolicy returns the policy for an agent when it is of another revision than the one last told on the connection.
func (m *membership) newPolicy(agent netip.AddrPort, s *session) *control.PoolPolicy {
	policy := m.balancer.policyFor(agent)
	if policy == nil || policy.Revision == m.policyTold[s] {
		return nil
	}
	m.policyTold[s] = policy.Revision
	return policy
}
