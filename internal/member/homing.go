package member

import (
	"net/netip"
	"slices"
	"time"
)

// homeRetry is how long an agent leaves a balancer alone that it could not reach.
const homeRetry = 2 * time.Second

// Homing chooses the balancers that an agent announces to. It is a pure state machine like Machine.
type Homing struct {
	seeds  []netip.AddrPort
	homes  []netip.AddrPort
	spares []netip.AddrPort
	failed map[netip.AddrPort]time.Time
	joined []netip.AddrPort
}

// NewHoming returns the choice among seeds, the control addresses from the settings.
func NewHoming(seeds []netip.AddrPort) *Homing {
	return &Homing{seeds: seeds, failed: make(map[netip.AddrPort]time.Time)}
}

// Replied takes the homes and spares of a home's reply.
func (h *Homing) Replied(homes, spares []Balancer) {
	h.homes = controls(homes)
	h.spares = controls(spares)
}

func controls(balancers []Balancer) []netip.AddrPort {
	list := make([]netip.AddrPort, len(balancers))
	for i, b := range balancers {
		list[i] = b.Control
	}
	return list
}

// Joined notes that a connection to a balancer is established.
func (h *Homing) Joined(balancer netip.AddrPort) {
	delete(h.failed, balancer)
	if !slices.Contains(h.joined, balancer) {
		h.joined = append(h.joined, balancer)
	}
}

// Failed notes that a balancer could not be reached or that its connection broke.
func (h *Homing) Failed(now time.Time, balancer netip.AddrPort) {
	for known, at := range h.failed {
		if now.Sub(at) >= homeRetry {
			delete(h.failed, known)
		}
	}
	h.failed[balancer] = now
	h.Left(balancer)
}

// Left notes that a connection has been closed on purpose.
func (h *Homing) Left(balancer netip.AddrPort) {
	h.joined = slices.DeleteFunc(h.joined, func(b netip.AddrPort) bool { return b == balancer })
}

// Plan returns the balancers to connect to and those to leave. A balancer is left only when every wanted one has been
// reached, so that a home that is named but cannot be reached costs none that can.
func (h *Homing) Plan(now time.Time) (connect, leave []netip.AddrPort) {
	wanted := h.wanted(now)
	for _, b := range wanted {
		if !slices.Contains(h.joined, b) {
			connect = append(connect, b)
		}
	}
	if len(connect) > 0 {
		return connect, nil
	}
	for _, b := range h.joined {
		if !slices.Contains(wanted, b) {
			leave = append(leave, b)
		}
	}
	return nil, leave
}

// wanted returns the homes, and in the place of each that has failed a spare or a seed.
func (h *Homing) wanted(now time.Time) []netip.AddrPort {
	var wanted []netip.AddrPort
	for _, b := range slices.Concat(h.homes, h.spares, h.seeds) {
		at, hasFailed := h.failed[b]
		isUsable := !hasFailed || now.Sub(at) >= homeRetry
		if len(wanted) < homeCount && isUsable && !slices.Contains(wanted, b) {
			wanted = append(wanted, b)
		}
	}
	return wanted
}
