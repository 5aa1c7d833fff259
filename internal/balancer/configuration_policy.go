package balancer

import (
	"net/netip"

	"gentianswitch/internal/control"
)

// policyFor returns the policy that the tables in force declare for the pool of a service, or nil when no pool has the service.
func (b *Balancer) policyFor(service uint16) *control.PoolPolicy {
	b.shared.mu.Lock()
	defer b.shared.mu.Unlock()
	for _, p := range b.shared.configuration.Tables().Pools {
		if p.Service == service {
			return &control.PoolPolicy{
				Revision: b.shared.configuration.ID().Number, ShortReserve: p.ShortReserve, QueueLimit: p.QueueLimit,
				DefaultDeadline: p.DefaultDeadline,
			}
		}
	}
	return nil
}

// changedPolicy returns the policy for an agent. It returns nil when the policy of the same revision was already sent on the
// connection, when no policy is declared, or when the agent isn't in the view.
func (m *membership) changedPolicy(agent netip.AddrPort, s *session) *control.PoolPolicy {
	target, isKnown := m.machine.Target(agent)
	if !isKnown {
		return nil
	}
	policy := m.balancer.policyFor(target.Service)
	if policy == nil || policy.Revision == m.sentPolicyRevision[s] {
		return nil
	}
	m.sentPolicyRevision[s] = policy.Revision
	return policy
}
