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
	// listenerIdle is how long the socket of a removed route stays open after its last datagram. It exceeds the idle
	// timeout of a caller's connection.
	listenerIdleTimeout   = 90 * time.Second
	listenerCheckInterval = 10 * time.Second
)

// listeners holds one socket for each port of the routes.
type listeners struct {
	bindIP netip.Addr
	// mu is held while byPort is replaced.
	mu sync.Mutex
	// byPort is immutable once stored, so that the data path reads it without a lock.
	byPort atomic.Pointer[map[uint16]*listener]
	// isNeeded tells for each port whether a route in force uses it.
	isPortNeeded [1 << 16]bool
}

func newListeners(bindIP netip.Addr) *listeners {
	l := &listeners{bindIP: bindIP}
	l.byPort.Store(&map[uint16]*listener{})
	return l
}

// open opens the socket for the port of a route's address: one on every address of the VM, or one on the bind IP.
func (l *listeners) openSocket(address netip.AddrPort) (*listener, error) {
	if l.bindIP.IsValid() {
		return openListener(netip.AddrPortFrom(l.bindIP, address.Port()))
	}
	return openWildcard(address.Port())
}

// through returns the socket from which answers of a route's address leave, or nil.
func (l *listeners) forAddress(address netip.AddrPort) *listener {
	return (*l.byPort.Load())[address.Port()]
}

// missing notes the addresses of routes and returns those whose port has no socket, one for each port.
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

func (l *listeners) addListener(address netip.AddrPort, opened *listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened.setAddress(address)
	opened.recordUse(time.Now())
	next := maps.Clone(*l.byPort.Load())
	next[address.Port()] = opened
	l.byPort.Store(&next)
}

// removeIdle takes out the sockets whose port no route uses and that have carried nothing for listenerIdle.
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

// close closes every socket.
func (l *listeners) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, opened := range *l.byPort.Load() {
		opened.close()
	}
}

// openListeners opens the sockets that the declared routes need. The socket of a removed route stays open until it is
// idle, since flows that are open on it go on.
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

// closeIdleListeners closes the sockets of removed routes until ctx ends.
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
