package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// returnWindow is how long a balancer stays in use after its last datagram.
	returnWindow = time.Second
	// maxReturnPaths is the largest number of balancers in the rotation. When it is full, a new balancer can only replace one
	// whose last datagram is older than returnWindow.
	maxReturnPaths = 64
)

// returnRotation selects the balancers through which datagrams return to callers. It rotates over the balancers whose datagrams
// have arrived within returnWindow, so that the loss of a balancer loses only a share of the returning datagrams, and only
// until the window has passed.
type returnRotation struct {
	mu    sync.Mutex
	paths []returnPath
	// indexes maps a balancer to its index in paths.
	indexes map[netip.AddrPort]int
	// lastUsed is the index of the path used last, lastChecked that of the path checked last for replacement.
	lastUsed    int
	lastChecked int
	now         func() time.Time
}

// returnPath is a balancer in the rotation.
type returnPath struct {
	balancer netip.AddrPort
	// heardAt is when its last datagram arrived, or zero once the balancer has announced that it shuts down.
	heardAt time.Time
}

func newReturnRotation() *returnRotation {
	return &returnRotation{now: time.Now, indexes: make(map[netip.AddrPort]int)}
}

// recordDatagram records that a datagram from the balancer has arrived. It ignores the zero AddrPort.
func (r *returnRotation) recordDatagram(balancer netip.AddrPort) {
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

// replace puts a new balancer in place of the next one in turn, if that has left the window. The caller holds mu.
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

// remove makes the rotation skip a balancer that shuts down.
func (r *returnRotation) remove(balancer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index, isKnown := r.indexes[balancer]; isKnown {
		r.paths[index].heardAt = time.Time{}
	}
}

// nextBalancer returns the balancer for the next datagram to a caller. If no balancer is in the window, it returns the one
// heard last. It returns false if no balancer has ever been heard.
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
