// Package handover transfers a balancer's configuration and targets over TCP to another balancer, which then need not read
// them from the store. Each item carries its revision in the store, so that older items never replace newer ones.
package handover

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/frame"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/progress"
	"gentianswitch/internal/store"
)

const (
	// dialTimeout bounds the connection attempt to a balancer.
	dialTimeout = 600 * time.Millisecond
	// stallTimeout bounds the time without progress in an exchange, and exchangeTimeout the whole exchange.
	stallTimeout    = 600 * time.Millisecond
	exchangeTimeout = 5 * time.Second
	// maxConcurrentExchanges bounds the exchanges that are served at once, so that a fleet that starts during an outage of the
	// store cannot exhaust the file descriptors of the balancers that can answer. Further connections are closed.
	maxConcurrentExchanges = 32
	// acceptRetryDelay is the delay after a failed accept. It prevents a busy loop.
	acceptRetryDelay = 50 * time.Millisecond
)

// Request states what the requesting balancer already has.
type Request struct {
	// ConfigurationVersion is the operators' version of the configuration that the balancer has, or zero. Unlike the revisions of
	// the store, versions of the configuration never go back.
	ConfigurationVersion uint64 `msgpack:"configuration_version"`
	// After is the store revision up to which the balancer has applied all changes, or zero.
	After store.Version `msgpack:"after"`
	// NeedsHistory is set while the balancer does not know every service at which a flow may be open.
	NeedsHistory bool `msgpack:"needs_history,omitempty"`
}

// State is what a balancer knows of the store's content and the requesting balancer lacks.
type State struct {
	// Revision is the store revision up to which the state includes all changes, or zero if the balancer does not know one.
	Revision store.Version `msgpack:"at"`
	// SettledEra is the highest settled era of the store, see registry.Settlement.
	SettledEra uint64 `msgpack:"settled,omitempty"`
	// Configuration is the operators' configuration document; its value is compressed by Pack. Its store revision is zero if
	// the document is unknown or its version is not above that of the request.
	Configuration Item `msgpack:"configuration"`
	// History is the history of the services up to the configuration in force. Its versions are zero if the configuration is not
	// part of the state and the requesting balancer does not need it.
	History desired.History `msgpack:"history"`
	// IsSnapshot is set if Targets are all targets. Otherwise Targets are those whose entries have changed after the revision
	// of the request. Removed are those that are known to have been removed since.
	IsSnapshot bool   `msgpack:"whole"`
	Targets    []Item `msgpack:"targets"`
	Removed    []Item `msgpack:"removed"`
	// Unreadable are the entries that cannot be decoded, without their values.
	Unreadable []Item `msgpack:"unreadable,omitempty"`
	// Evacuations are all known evacuations of availability zones, including those that have ended. All other zones were in service
	// at EvacuationsListedAt, which is zero if that is not known.
	Evacuations         []desired.Evacuation `msgpack:"evacuations,omitempty"`
	EvacuationsListedAt store.Version        `msgpack:"evacuations_at,omitempty"`
}

// Item is a key of the store with its value and revision.
type Item struct {
	Key      string        `msgpack:"key"`
	Value    []byte        `msgpack:"value"`
	Revision store.Version `msgpack:"version"`
	// IsLost is set if the restored store no longer holds this version of a target's entry.
	IsLost bool `msgpack:"lost,omitempty"`
}

// IsSufficientFor reports whether a balancer that sent the request r can forward packets once it has applied the state. It then
// has a configuration, and the targets up to a known revision.
func (s *State) IsSufficientFor(r Request) bool {
	return s.Revision > 0 && (s.Configuration.Revision > 0 || r.ConfigurationVersion > 0) && (!s.IsSnapshot || len(s.Targets) > 0)
}

// Fetch requests the state of the balancer at address.
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
		return State{}, eris.Wrapf(err, "send state request to balancer %s", address)
	}
	var state State
	err = frame.Read(conn, &state)
	return state, eris.Wrapf(err, "read state from balancer %s", address)
}

// Server answers the requests of other balancers.
type Server struct {
	// StateFor returns the state that answers a request.
	StateFor func(Request) State
	// OnError is called with the error of an exchange or of a failed accept.
	OnError func(error)
}

// Run serves at address until ctx ends. It returns an error only if it cannot listen.
func (s Server) Run(ctx context.Context, address netip.AddrPort) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address.String())
	if err != nil {
		return eris.Wrapf(err, "listen for state requests on %s", address)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	exchanges := make(chan struct{}, maxConcurrentExchanges)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The process may be out of file descriptors for a short time. The requesting balancers retry, and the error must
			// not end the balancer, which forwards packets all the while.
			s.OnError(eris.Wrapf(err, "accept connection on %s; retrying", address))
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case exchanges <- struct{}{}:
			go func() {
				s.serveConnection(conn)
				<-exchanges
			}()
		default:
			_ = conn.Close()
		}
	}
}

// serveConnection reads a request and writes the state that answers it.
func (s Server) serveConnection(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	conn := progress.NewConn(raw, stallTimeout, exchangeTimeout)
	var request Request
	if err := frame.Read(conn, &request); err != nil {
		s.OnError(eris.Wrapf(err, "read state request of balancer %s", raw.RemoteAddr()))
		return
	}
	state := s.StateFor(request)
	if err := frame.Write(conn, &state); err != nil {
		s.OnError(eris.Wrapf(err, "send state to balancer %s", raw.RemoteAddr()))
	}
}
