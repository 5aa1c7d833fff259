package balancer

import "gentianswitch/internal/ring"

// flush carries what stands in the rings to its receivers. It runs once every duty has ended, so that no ring fills
// while it runs.
func (b *Balancer) flush() {
	drain(b.toAgents, b.send)
	drain(b.toCallers, b.send)
	drain(b.inbound, func(received *batch) {
		b.forwardBatch(received)
		drain(b.toAgents, b.send)
	})
	drain(b.outbound, func(received *batch) {
		b.returnBatch(received)
		drain(b.toCallers, b.send)
	})
}

func drain(from *ring.Ring[*batch], do func(*batch)) {
	for {
		next, ok := from.TryGet()
		if !ok {
			return
		}
		do(next)
	}
}
