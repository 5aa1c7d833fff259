package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// returnWindow is how long a balancer stays in the rotation after it was last heard of.
	returnWindow = time.Second
	// maxReturnPaths is the number of balancers in the rotation. When it is full, a balancer enters only in the place of
	// one that has left the window.
	maxReturnPaths = 64
)

// returnRotation is the rotation of the balancers that carry answers. Answers rotate over the balancers heard of within the
// window, so that the loss of one balancer loses a share of the answers only until the window ends.
type returnRotation struct {
	mu    sync.Mutex
	paths []returnPath
	// indexes maps a balancer to its index in paths.
	indexes map[netip.AddrPort]int
	// lastUsed is the path that was used last, oldest the one looked at last for replacement.
	lastUsed    int
	lastChecked int
	now         func() time.Time
}

type returnPath struct {
	balancer netip.AddrPort
	heardAt  time.Time
}

func newReturnRotation() *returnRotation {
	return &returnRotation{now: time.Now, indexes: make(map[netip.AddrPort]int)}
}

// recordHeard records that a datagram of the balancer has arrived.
func (r *returnRotation) recordHeard(balancer netip.AddrPort) {
	if !balancer.IsValid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	index, isKnown := r.indexes[balancer]
	switch {
	case isKnown:
		r.paths[index].heardAt = now
	case len(r.paths) < maxReturnPaths:
		r.indexes[balancer] = len(r.paths)
		r.paths = append(r.paths, returnPath{balancer: balancer, heardAt: now})
	default:
		r.replace(balancer, now)
	}
}

// replace puts a balancer in the place of the next one in turn, if that has left the window.
func (r *returnRotation) replace(balancer netip.AddrPort, now time.Time) {
	r.lastChecked = (r.lastChecked + 1) % len(r.paths)
	path := &r.paths[r.lastChecked]
	if path.isInWindow(now) {
		return
	}
	delete(r.indexes, path.balancer)
	r.indexes[balancer] = r.lastChecked
	*path = returnPath{balancer: balancer, heardAt: now}
}

func (p returnPath) isInWindow(now time.Time) bool {
	return now.Sub(p.heardAt) < returnWindow
}

// remove takes a balancer that ends out of the rotation.
func (r *returnRotation) remove(balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index, isKnown := r.indexes[balancer]; isKnown {
		r.paths[index].heardAt = time.Time{}
	}
}

// nextBalancer returns the balancer for the next answer. When none was heard of within the window it returns the one heard
// of last; it reports false when none was ever heard of.
func (r *returnRotation) nextBalancer() (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	latest := -1
	for range r.paths {
		r.lastUsed = (r.lastUsed + 1) % len(r.paths)
		p := r.paths[r.lastUsed]
		if p.isInWindow(now) {
			return p.balancer, true
		}
		if latest < 0 || p.heardAt.After(r.paths[latest].heardAt) {
			latest = r.lastUsed
		}
	}
	if latest < 0 {
		return netip.AddrPort{}, false
	}
	return r.paths[latest].balancer, true
}
