// Package agent implements the duties of gentian-agent: it ends the callers' QUIC connections, admits requests, gives
// them to the local target and announces the target to the balancers.
package agent

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/control"
	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
	"gentianswitch/internal/retry"
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
	MaxFlows int
	// Balancers are the control addresses of balancers that tell the agent its homes.
	Balancers []netip.AddrPort
	// Policy names the admission policy, see package admit.
	Policy string
	// ShortReserve is the number of slots that long work may not take.
	ShortReserve int
	// QueueLimit is the number of requests that may wait.
	QueueLimit int
	// Deadline and LongDeadline apply to short and long requests that state none.
	Deadline     time.Duration
	LongDeadline time.Duration
	// BodyLimit and LongBodyLimit bound the bodies of short and long requests, in bytes.
	BodyLimit     int64
	LongBodyLimit int64
	// SlowStart is the time over which a target that starts gets a growing share of new work.
	SlowStart time.Duration
}

func (s *Settings) bodyLimit(c class.Class) int64 {
	if c == class.Long {
		return s.LongBodyLimit
	}
	return s.BodyLimit
}

func (s *Settings) defaultDeadline(c class.Class) time.Duration {
	if c == class.Long {
		return s.LongDeadline
	}
	return s.Deadline
}

func (s *Settings) admissionSettings(seed uint64) admit.Settings {
	return admit.Settings{
		Slots: s.Slots, ShortReserve: s.ShortReserve, QueueLimit: s.QueueLimit, Policy: s.Policy, Seed: seed,
	}
}

const (
	ringCapacity = 4096
	// retryRatio and retryLimit bound the retries of idempotent requests: the share of the requests, and how many
	// unused ones are saved.
	retryRatio      = 0.1
	maxSavedRetries = 10
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
	frontends            []*frontend
	returnRotation       *returnRotation
	outbound             *ring.Ring[outgoingDatagram]
	datagramCounters     datagramCounters
	requestCounters      requestCounters
	target               *targetClient
	admission            *admission
	policy               policy
	retryBudget          *retry.Budget
	idempotency          *idempotency
	health               *healthMonitor
	peerConns            *peerConnPool
	knownPeers           knownPeers
	activeWork           *activeWork
	placements           *placements
	slowStart            slowStart
	drainControl         *drainControl
	group                *duty.Group
}

// New returns an agent that is not yet running. The incarnation is taken from the time of the start.
func New(
	settings Settings, set *keys.Set, credentials *control.Credentials, log *events.Logger, scope tally.Scope,
	now time.Time,
) (*Agent, error) {
	incarnation := uint64(now.UnixMilli())
	admitter, err := newAdmission(settings.admissionSettings(incarnation), log)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:         settings,
		log:              log,
		credentials:      credentials,
		incarnation:      incarnation,
		lifecycle:        newLifecycle(),
		returnRotation:   newReturnRotation(),
		outbound:         ring.New[outgoingDatagram](ringCapacity),
		datagramCounters: newDatagramCounters(scope),
		requestCounters:  newRequestCounters(scope),
		target:           newTargetClient(settings.Target),
		conns:            make(map[class.Class]*virtualConn),
		admission:        admitter,
		retryBudget:      retry.NewBudget(retryRatio, maxSavedRetries),
		idempotency:      newIdempotency(settings.Control, incarnation),
		health:           newHealthMonitor(now, log),
		peerConns:        newPeerConnPool(credentials),
		activeWork:       newActiveWork(),
		placements:       newPlacements(now),
		slowStart:        slowStart{startedAt: now, duration: settings.SlowStart},
		drainControl:     newDrainControl(),
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
	if err := a.startDuties(); err != nil {
		return err
	}
	a.lifecycle.setState(member.Ready)
	a.watchSignals(ctx, force)
	a.awaitDrained()
	a.group.Stop()
	return a.group.Wait()
}

func (a *Agent) startDuties() error {
	for _, c := range class.All {
		f, err := a.openFrontend(c)
		if err != nil {
			return err
		}
		a.conns[c] = f.conn
		a.frontends = append(a.frontends, f)
	}
	a.group.Go("send", a.sendDatagrams)
	a.group.Go("receive", a.receiveDatagrams)
	for _, f := range a.frontends {
		a.group.Go("accept "+f.class.String(), f.acceptFlows)
	}
	a.group.Go("admission", a.admission.sendTicks)
	a.group.Go("health", a.monitorHealth)
	a.group.Go("control", a.serveControl)
	a.group.Go("announce", newObserverConns(a, a.settings.Balancers).maintain)
	return nil
}

func (a *Agent) announcement() member.Target {
	state, sequence := a.lifecycle.current()
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
