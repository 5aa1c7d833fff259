package balancer

import (
	"context"
	"net/netip"
	"sync"

	"gentianswitch/internal/events"
	"gentianswitch/internal/tables"
)

// listeners holds the sockets for the ports of the routes.
type listeners struct {
	bindIP netip.Addr
	mu     sync.RWMutex
	// byAddress maps a route's address to its socket.
	byAddress map[netip.AddrPort]*listener
	// addresses maps a socket's bound address to the route's address.
	addresses map[netip.AddrPort]netip.AddrPort
}

func newListeners(bindIP netip.Addr) *listeners {
	return &listeners{
		bindIP:    bindIP,
		byAddress: make(map[netip.AddrPort]*listener),
		addresses: make(map[netip.AddrPort]netip.AddrPort),
	}
}

func (l *listeners) bindAddress(address netip.AddrPort) netip.AddrPort {
	if !l.bindIP.IsValid() {
		return address
	}
	return netip.AddrPortFrom(l.bindIP, address.Port())
}

// through returns the socket from which answers of a route's address leave, or nil.
func (l *listeners) through(address netip.AddrPort) *listener {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byAddress[address]
}

// address returns the route's address that a socket serves.
func (l *listeners) address(from *listener) netip.AddrPort {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.addresses[from.bind]
}

// missing returns the addresses of routes that have no socket.
func (l *listeners) missing(declared *tables.Tables) []netip.AddrPort {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []netip.AddrPort
	for _, r := range declared.Routes {
		if l.byAddress[r.Address] == nil {
			list = append(list, r.Address)
		}
	}
	return list
}

func (l *listeners) add(address netip.AddrPort, opened *listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress[address] = opened
	l.addresses[opened.bind] = address
}

// close closes every socket.
func (l *listeners) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, opened := range l.byAddress {
		opened.close()
	}
}

// openListeners opens the sockets that the declared routes need. A socket whose route was removed stays open, since
// flows that are open on it go on.
func (b *Balancer) openListeners(declared *tables.Tables) {
	for _, address := range b.listeners.missing(declared) {
		bind := b.listeners.bindAddress(address)
		opened, err := openListener(bind)
		if err != nil {
			b.log.Emit(events.ListenerFailed, events.F("bind", bind.String()), events.Err(err))
			continue
		}
		b.listeners.add(address, opened)
		b.log.Emit(events.ListenerOpened, events.F("bind", bind.String()))
		b.group.Go("receive on "+bind.String(), func(ctx context.Context) error {
			return b.receive(ctx, opened, b.inbound)
		})
	}
}
