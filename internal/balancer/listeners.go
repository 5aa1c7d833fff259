package balancer

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/tables"
)

const (
	// listenerIdleTimeout is how long the socket of a removed route stays open after its last datagram. It is longer than the idle
	// timeout of a caller's connection.
	listenerIdleTimeout = 90 * time.Second
	// listenerCheckInterval is the time between two searches for idle sockets.
	listenerCheckInterval = 10 * time.Second
)

// listeners holds one socket for each port of the routes.
type listeners struct {
	bindIP netip.Addr
	// mu guards isPortNeeded and serializes replacements of byPort.
	mu sync.Mutex
	// byPort maps ports to sockets. The stored map is immutable, so the data path reads it without a lock.
	byPort atomic.Pointer[map[uint16]*listener]
	// isPortNeeded is true for each port that a route in force uses.
	isPortNeeded [1 << 16]bool
}

func newListeners(bindIP netip.Addr) *listeners {
	l := &listeners{bindIP: bindIP}
	l.byPort.Store(&map[uint16]*listener{})
	return l
}

// openSocket opens the socket for the port of a route's address: on the bind IP if one is set, otherwise on every address of
// the VM.
func (l *listeners) openSocket(address netip.AddrPort) (*listener, error) {
	if l.bindIP.IsValid() {
		return openListener(netip.AddrPortFrom(l.bindIP, address.Port()))
	}
	return openWildcard(address.Port())
}

// forAddress returns the socket that serves the port of a route's address, or nil. Answers are sent from it.
func (l *listeners) forAddress(address netip.AddrPort) *listener {
	return (*l.byPort.Load())[address.Port()]
}

// updateRoutes records which ports the declared routes use, and returns one address for each port that has no socket yet. For
// sockets on the bind IP it also sets the address that they serve.
func (l *listeners) updateRoutes(declared *tables.Tables) []netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := *l.byPort.Load()
	clear(l.isPortNeeded[:])
	var missing []netip.AddrPort
	for i := range declared.Routes {
		address := declared.Routes[i].Address
		isRecorded := l.isPortNeeded[address.Port()]
		l.isPortNeeded[address.Port()] = true
		if isRecorded && !l.bindIP.IsValid() {
			continue
		}
		if opened := present[address.Port()]; opened != nil {
			opened.setAddress(address)
		} else if !isRecorded {
			missing = append(missing, address)
		}
	}
	return missing
}

// addListener adds the socket for the port of a route's address.
func (l *listeners) addListener(address netip.AddrPort, opened *listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened.setAddress(address)
	opened.recordUse(time.Now())
	next := maps.Clone(*l.byPort.Load())
	next[address.Port()] = opened
	l.byPort.Store(&next)
}

// removeIdle removes and returns the sockets that are idle and whose port no route uses.
func (l *listeners) removeIdle(now time.Time) []*listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	var idle []*listener
	next := maps.Clone(*l.byPort.Load())
	for port, opened := range next {
		if !l.isPortNeeded[port] && opened.isIdle(now) {
			idle = append(idle, opened)
			delete(next, port)
		}
	}
	l.byPort.Store(&next)
	return idle
}

// closeAll closes every socket.
func (l *listeners) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, opened := range *l.byPort.Load() {
		opened.close()
	}
}

// openListeners opens the sockets that the declared routes need and don't have yet. The socket of a removed route stays open
// until it is idle, because open flows still use it.
func (b *Balancer) openListeners(declared *tables.Tables) {
	for _, address := range b.listeners.updateRoutes(declared) {
		opened, err := b.listeners.openSocket(address)
		if err != nil {
			b.log.Emit(events.ListenerFailed, events.F("bind", address.String()), events.Err(err))
			continue
		}
		b.listeners.addListener(address, opened)
		b.log.Emit(events.ListenerOpened, events.F("bind", opened.bind.String()))
		b.group.Go("receive on "+opened.bind.String(), func(ctx context.Context) error {
			return b.receive(ctx, opened, b.fromCallers)
		})
	}
}

// closeIdleListeners closes the idle sockets of removed routes periodically until ctx ends.
func (b *Balancer) closeIdleListeners(ctx context.Context) error {
	ticker := time.NewTicker(listenerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, idle := range b.listeners.removeIdle(now) {
				idle.stopReading()
				idle.close()
				b.log.Emit(events.ListenerClosed, events.F("bind", idle.bind.String()))
			}
		}
	}
}
