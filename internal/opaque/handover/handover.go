// Package handover lets a balancer that cannot read the store learn the routes and the targets from another balancer.
package handover

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/store"
)

const (
	// timeout bounds an exchange. Peers of a region answer within a few milliseconds; one that is down costs this wait
	// once before the next is asked.
	timeout = 400 * time.Millisecond
	// maxExchanges bounds the exchanges that are served at once, so that a fleet that starts in an outage cannot exhaust
	// the descriptors of those that know.
	maxExchanges = 32
	// acceptPause keeps a failing accept from spinning.
	acceptPause = 50 * time.Millisecond
)

// State is what a balancer knows from the store.
type State struct {
	// Configuration is the operators' document as the store held it, with version zero when it is not known.
	Configuration Item `msgpack:"configuration"`
	// Targets are the entries of targets.
	Targets []Item `msgpack:"targets"`
}

// Item is an item of the store.
type Item struct {
	Key     string        `msgpack:"key"`
	Value   []byte        `msgpack:"value"`
	Version store.Version `msgpack:"version"`
}

// IsComplete reports whether the state is enough to forward packets.
func (s *State) IsComplete() bool { return s.Configuration.Version > 0 && len(s.Targets) > 0 }

// Fetch asks the balancer at address for its state.
func Fetch(ctx context.Context, address netip.AddrPort) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return State{}, eris.Wrapf(err, "connect to balancer %s", address)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return State{}, eris.Wrapf(err, "set a deadline for balancer %s", address)
	}
	var state State
	err = frame.Read(conn, &state)
	return state, eris.Wrapf(err, "read the state of balancer %s", address)
}

// Serve answers each connection to address with the state that current returns, until ctx ends. It calls refused for a
// connection that cannot be accepted.
func Serve(ctx context.Context, address netip.AddrPort, current func() State, refused func(error)) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return eris.Wrapf(err, "listen for balancers on %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	places := make(chan struct{}, maxExchanges)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// Out of descriptors for a moment: those that ask try again, and forwarding must not end for it.
			refused(eris.Wrapf(err, "accept balancers on %s", address))
			time.Sleep(acceptPause)
			continue
		}
		select {
		case places <- struct{}{}:
			go func() {
				answer(conn, current())
				<-places
			}()
		default:
			_ = conn.Close()
		}
	}
}

// answer sends the state. A peer that does not get it whole asks again, so a failed write needs no word here.
func answer(conn net.Conn, state State) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return
	}
	_ = frame.Write(conn, &state)
}
