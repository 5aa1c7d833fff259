package member

import (
	"net/netip"
	"slices"
	"time"
)

// unreachableRetryDelay is the time after which an agent tries again to connect to a balancer that it couldn't reach.
const unreachableRetryDelay = 2 * time.Second

// ObserverSelector selects the balancers that an agent announces to, its observers. It is a pure state machine like Machine.
type ObserverSelector struct {
	// seeds are the control addresses from the settings. observers and backups are those in the last reply of a balancer.
	seeds     []netip.AddrPort
	observers []netip.AddrPort
	backups   []netip.AddrPort
	// failedAt is when the last connection to each unreachable balancer failed.
	failedAt  map[netip.AddrPort]time.Time
	connected []netip.AddrPort
}

// NewObserverSelector returns a selector that knows only the seeds, the control addresses of balancers from the settings.
func NewObserverSelector(seeds []netip.AddrPort) *ObserverSelector {
	return &ObserverSelector{seeds: seeds, failedAt: make(map[netip.AddrPort]time.Time)}
}

// HandleReply records the observers and backups that a balancer's reply has assigned to the agent.
func (s *ObserverSelector) HandleReply(observers, backups []Balancer) {
	s.observers = controlAddresses(observers)
	s.backups = controlAddresses(backups)
}

func controlAddresses(balancers []Balancer) []netip.AddrPort {
	list := make([]netip.AddrPort, len(balancers))
	for i, b := range balancers {
		list[i] = b.Control
	}
	return list
}

// HandleConnected records that a connection to a balancer has been established.
func (s *ObserverSelector) HandleConnected(balancer netip.AddrPort) {
	delete(s.failedAt, balancer)
	if !slices.Contains(s.connected, balancer) {
		s.connected = append(s.connected, balancer)
	}
}

// HandleFailure records that a balancer could not be reached or that its connection failed.
func (s *ObserverSelector) HandleFailure(now time.Time, balancer netip.AddrPort) {
	for other, at := range s.failedAt {
		if now.Sub(at) >= unreachableRetryDelay {
			delete(s.failedAt, other)
		}
	}
	s.failedAt[balancer] = now
	s.HandleClosed(balancer)
}

// HandleClosed records that the agent itself has closed the connection to a balancer.
func (s *ObserverSelector) HandleClosed(balancer netip.AddrPort) {
	s.connected = slices.DeleteFunc(s.connected, func(b netip.AddrPort) bool { return b == balancer })
}

// Plan returns the balancers to connect to and those to disconnect from. It returns none of the latter before all selected
// balancers are connected, so that an assigned observer which can't be reached doesn't cost the agent one that can.
func (s *ObserverSelector) Plan(now time.Time) (connect, leave []netip.AddrPort) {
	wanted := s.wantedBalancers(now)
	for _, b := range wanted {
		if !slices.Contains(s.connected, b) {
			connect = append(connect, b)
		}
	}
	if len(connect) > 0 {
		return connect, nil
	}
	for _, b := range s.connected {
		if !slices.Contains(wanted, b) {
			leave = append(leave, b)
		}
	}
	return nil, leave
}

// wantedBalancers returns the assigned observers. Backups and then seeds replace those that have failed recently.
func (s *ObserverSelector) wantedBalancers(now time.Time) []netip.AddrPort {
	var wanted []netip.AddrPort
	for _, b := range slices.Concat(s.observers, s.backups, s.seeds) {
		at, hasFailed := s.failedAt[b]
		isUsable := !hasFailed || now.Sub(at) >= unreachableRetryDelay
		if len(wanted) < observersPerAgent && isUsable && !slices.Contains(wanted, b) {
			wanted = append(wanted, b)
		}
	}
	return wanted
}
