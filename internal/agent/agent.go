// Package agent implements the duties of gentian-agent: it ends the callers' QUIC connections, admits requests, gives
// them to the local target and announces the target to the balancers.
package agent

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/control"
	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
	"gentianswitch/internal/ring"
)

// Settings are the checked settings of an agent.
type Settings struct {
	Zone string
	// Data is the address of the datagram socket.
	Data netip.AddrPort
	// Control is the address of the control listener.
	Control netip.AddrPort
	// Target is the host:port at which the local target accepts HTTP/1.1.
	Target string
	// Service is the number of the service that the target runs.
	Service uint16
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Connections is the number of flows that the agent accepts.
	Connections int
	// Balancers are the control addresses of balancers that tell the agent its homes.
	Balancers []netip.AddrPort
}

const (
	ringDatagrams  = 4096
	lingerDuration = time.Second
)

// Agent is a running agent.
type Agent struct {
	settings    Settings
	log         *events.Logger
	credentials *control.Credentials
	keys        atomic.Pointer[keys.Set]
	codec       atomic.Pointer[connid.Codec]
	incarnation uint64
	// announcedIncarnation is the incarnation, or more when the VM's former agent had a later clock.
	announcedIncarnation atomic.Uint64
	lifecycle            *lifecycle
	socket               *net.UDPConn
	conns                map[class.Class]*virtualConn
	servers              map[class.Class]*http3.Server
	returns              *returns
	outbound             *ring.Ring[outgoing]
	counters             counters
	target               *targetClient
	group                *duty.Group
}

// New returns an agent that is not yet running. The incarnation is taken from the time of the start.
func New(
	settings Settings, set *keys.Set, credentials *control.Credentials, log *events.Logger, scope tally.Scope,
	now time.Time,
) (*Agent, error) {
	a := &Agent{
		settings:    settings,
		log:         log,
		credentials: credentials,
		incarnation: uint64(now.UnixMilli()),
		lifecycle:   newLifecycle(),
		returns:     newReturns(),
		outbound:    ring.New[outgoing](ringDatagrams),
		counters:    newCounters(scope),
		target:      newTargetClient(settings.Target),
		conns:       make(map[class.Class]*virtualConn),
		servers:     make(map[class.Class]*http3.Server),
	}
	a.announcedIncarnation.Store(a.incarnation)
	return a, a.SetKeys(set)
}

// SetKeys replaces the keys of connection IDs and envelopes.
func (a *Agent) SetKeys(set *keys.Set) error {
	codec, err := connid.NewCodec(set)
	if err != nil {
		return err
	}
	a.keys.Store(set)
	a.codec.Store(codec)
	return nil
}

// Run serves until ctx ends, then drains: it returns when the last request in progress has ended or force ends.
func (a *Agent) Run(ctx, force context.Context) error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a.settings.Data))
	if err != nil {
		return eris.Wrapf(err, "open data socket %s", a.settings.Data)
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	a.socket = socket
	a.group = duty.NewGroup(context.WithoutCancel(ctx))
	a.group.Go("send", a.sendAll)
	a.group.Go("receive", a.receiveAll)
	for _, c := range class.All {
		if err := a.serveClass(c); err != nil {
			return err
		}
	}
	a.group.Go("announce", newHomes(a, a.settings.Balancers).keep)
	a.lifecycle.set(member.Ready)
	select {
	case <-ctx.Done():
		a.drain(force)
	case <-a.group.Context().Done():
	}
	a.group.Stop()
	return a.group.Wait()
}

func (a *Agent) announcement() member.Target {
	state, sequence := a.lifecycle.get()
	return member.Target{
		Agent:       a.settings.Data,
		Control:     a.settings.Control,
		Service:     a.settings.Service,
		Zone:        a.settings.Zone,
		Slots:       a.settings.Slots,
		Incarnation: a.announcedIncarnation.Load(),
		Sequence:    sequence,
		State:       state,
	}
}
