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

// returns is the rotation of the balancers that carry answers. Answers rotate over the balancers heard of within the
// window, so that the loss of one balancer loses a share of the answers only until the window ends.
type returns struct {
	mu    sync.Mutex
	paths []returnPath
	// places maps a balancer to its index in paths.
	places map[netip.AddrPort]int
	// position is the path that was used last, oldest the one looked at last for replacement.
	position int
	oldest   int
	now      func() time.Time
}

type returnPath struct {
	balancer netip.AddrPort
	at       time.Time
}

func newReturns() *returns {
	return &returns{now: time.Now, places: make(map[netip.AddrPort]int)}
}

// heard records that a datagram of the balancer has arrived.
func (r *returns) heard(balancer netip.AddrPort) {
	if !balancer.IsValid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	place, isKnown := r.places[balancer]
	switch {
	case isKnown:
		r.paths[place].at = now
	case len(r.paths) < maxReturnPaths:
		r.places[balancer] = len(r.paths)
		r.paths = append(r.paths, returnPath{balancer: balancer, at: now})
	default:
		r.replace(balancer, now)
	}
}

// replace puts a balancer in the place of the next one in turn, if that has left the window.
func (r *returns) replace(balancer netip.AddrPort, now time.Time) {
	r.oldest = (r.oldest + 1) % len(r.paths)
	path := &r.paths[r.oldest]
	if path.isLive(now) {
		return
	}
	delete(r.places, path.balancer)
	r.places[balancer] = r.oldest
	*path = returnPath{balancer: balancer, at: now}
}

func (p returnPath) isLive(now time.Time) bool {
	return now.Sub(p.at) < returnWindow
}

// left takes a balancer that ends out of the rotation.
func (r *returns) left(balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if place, isKnown := r.places[balancer]; isKnown {
		r.paths[place].at = time.Time{}
	}
}

// next returns the balancer for the next answer. When none was heard of within the window it returns the one heard
// of last; it reports false when none was ever heard of.
func (r *returns) next() (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	latest := -1
	for range r.paths {
		r.position = (r.position + 1) % len(r.paths)
		p := r.paths[r.position]
		if p.isLive(now) {
			return p.balancer, true
		}
		if latest < 0 || p.at.After(r.paths[latest].at) {
			latest = r.position
		}
	}
	if latest < 0 {
		return netip.AddrPort{}, false
	}
	return r.paths[latest].balancer, true
}
