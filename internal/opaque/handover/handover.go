// Package handover lets a balancer learn the routes and the targets from another balancer: what the store has told that
// one, with the revisions of the store, so that nothing older replaces what is known.
package handover

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/progress"
	"gentianswitch/internal/store"
)

const (
	// dialTimeout bounds the opening of a connection to a balancer.
	dialTimeout = 600 * time.Millisecond
	// stallTimeout bounds the time without progress of an exchange, and exchangeTimeout the whole of it.
	stallTimeout    = 600 * time.Millisecond
	exchangeTimeout = 5 * time.Second
	// maxExchanges bounds the exchanges that are served at once, so that a fleet that starts in an outage cannot exhaust
	// the descriptors of those that know.
	maxExchanges = 32
	// acceptPause keeps a failing accept from spinning.
	acceptPause = 50 * time.Millisecond
)

// Request tells what the balancer that asks holds already.
type Request struct {
	// Configuration is the revision of the operators' document that it holds, or zero.
	Configuration store.Version `msgpack:"configuration"`
	// After is the revision up to which it knows all changes, or zero.
	After store.Version `msgpack:"after"`
}

// State is what a balancer knows from the store.
type State struct {
	// At is the revision whose changes, and those before it, are in the state. It is zero when the balancer does not
	// know one.
	At store.Version `msgpack:"at"`
	// Configuration is the operators' document, its value as Pack returns it. Its version is zero when it is not known, or
	// not later than that of the request.
	Configuration Item `msgpack:"configuration"`
	// IsWhole is set when Targets are all targets. Else they are those that have changed after the revision of the request,
	// and Removed those that have left.
	IsWhole bool   `msgpack:"whole"`
	Targets []Item `msgpack:"targets"`
	Removed []Item `msgpack:"removed"`
}

// Item is an item of the store.
type Item struct {
	Key     string        `msgpack:"key"`
	Value   []byte        `msgpack:"value"`
	Version store.Version `msgpack:"version"`
}

// IsComplete reports whether the state, which answers a request, is enough to forward packets.
func (s *State) IsComplete(r Request) bool {
	return s.At > 0 && s.Configuration.Version|r.Configuration > 0 && (!s.IsWhole || len(s.Targets) > 0)
}

// Fetch asks the balancer at address for its state.
func Fetch(ctx context.Context, address netip.AddrPort, request Request) (State, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return State{}, eris.Wrapf(err, "connect to balancer %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	defer func() { _ = raw.Close() }()
	conn := progress.NewConn(raw, stallTimeout, exchangeTimeout)
	if err := frame.Write(conn, &request); err != nil {
		return State{}, eris.Wrapf(err, "ask balancer %s", address)
	}
	var state State
	err = frame.Read(conn, &state)
	return state, eris.Wrapf(err, "read the state of balancer %s", address)
}

// Server answers balancers that ask for the state of this one.
type Server struct {
	// Current returns the state for a request.
	Current func(Request) State
	// Failed takes the error of an exchange, or of a connection that cannot be accepted.
	Failed func(error)
}

// Run serves at address until ctx ends.
func (s Server) Run(ctx context.Context, address netip.AddrPort) error {
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
			s.Failed(eris.Wrapf(err, "accept balancers on %s", address))
			time.Sleep(acceptPause)
			continue
		}
		select {
		case places <- struct{}{}:
			go func() {
				s.answer(conn)
				<-places
			}()
		default:
			_ = conn.Close()
		}
	}
}

func (s Server) answer(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	conn := progress.NewConn(raw, stallTimeout, exchangeTimeout)
	var request Request
	if err := frame.Read(conn, &request); err != nil {
		s.Failed(eris.Wrapf(err, "read the request of balancer %s", raw.RemoteAddr()))
		return
	}
	state := s.Current(request)
	if err := frame.Write(conn, &state); err != nil {
		s.Failed(eris.Wrapf(err, "answer balancer %s", raw.RemoteAddr()))
	}
}
