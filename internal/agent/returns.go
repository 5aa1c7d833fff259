package agent

import (
	"net/netip"
	"sync"
	"time"
)

// returnWindow is how long a balancer stays in the rotation after it was last heard of.
const returnWindow = time.Second

// returns is the rotation of the balancers that carry answers. Answers rotate over all balancers heard of within the
// window, so that the loss of one balancer loses a share of the answers only until the window ends.
type returns struct {
	mu        sync.Mutex
	balancers []returnPath
	position  int
	now       func() time.Time
}

type returnPath struct {
	balancer netip.AddrPort
	at       time.Time
}

func newReturns() *returns {
	return &returns{now: time.Now}
}

// heard records that a datagram of the balancer has arrived.
func (r *returns) heard(balancer netip.AddrPort) {
	if !balancer.IsValid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.balancers {
		if r.balancers[i].balancer == balancer {
			r.balancers[i].at = r.now()
			return
		}
	}
	r.balancers = append(r.balancers, returnPath{balancer: balancer, at: r.now()})
}

// left takes a balancer that ends out of the rotation.
func (r *returns) left(balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.balancers {
		if r.balancers[i].balancer == balancer {
			r.balancers[i].at = time.Time{}
		}
	}
}

// next returns the balancer for the next answer. When none was heard of within the window it returns the one heard
// of last; it reports false when none was ever heard of.
func (r *returns) next() (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.now().Add(-returnWindow)
	latest := -1
	for range r.balancers {
		r.position = (r.position + 1) % len(r.balancers)
		p := r.balancers[r.position]
		if p.at.After(oldest) {
			return p.balancer, true
		}
		if latest < 0 || p.at.After(r.balancers[latest].at) {
			latest = r.position
		}
	}
	if latest < 0 {
		return netip.AddrPort{}, false
	}
	return r.balancers[latest].balancer, true
}
