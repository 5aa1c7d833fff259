// Package agent implements gentian-agent, the proxy beside a target. It terminates the callers' QUIC connections (HTTP/3),
// admits their requests, forwards them to the target over HTTP/1.1 or relays them to a peer agent, and announces the target to
// the balancers.
//
// A flow is one QUIC connection of a caller. Its datagrams arrive through balancers, each in an envelope, and the datagrams to
// the caller return through balancers. The route that the caller connects to declares the class of its requests: feed, short or
// long. Each class has its own QUIC listener. The observers of an agent are the balancers that it announces itself to. Its
// peers are the other agents of the same service. All agents of a service form a pool.
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

// Settings are the validated settings of an agent.
type Settings struct {
	Zone string
	// Data is the address of the datagram socket, on which envelopes arrive. It identifies the agent.
	Data netip.AddrPort
	// Control is the address of the control listener for operators and peer agents.
	Control netip.AddrPort
	// Target is the host:port at which the local target accepts HTTP/1.1.
	Target string
	// Service is the number of the service that the target runs.
	Service uint16
	// Slots is the number of requests that the target runs at once.
	Slots int
	// MaxFlows is the largest number of open flows. The agent redirects or refuses further ones.
	MaxFlows int
	// Balancers are the control addresses of the balancers that the agent contacts first. They assign it its observers.
	Balancers []netip.AddrPort
	// Policy is the name of the admission policy, see package admit.
	Policy string
	// ShortReserve is the minimum number of slots that long requests may not occupy, or admit.DefaultReserve.
	ShortReserve int
	// QueueLimit is the number of requests that may wait in the queue.
	QueueLimit int
	// Deadline and LongDeadline are the default deadlines of short and long requests.
	Deadline     time.Duration
	LongDeadline time.Duration
	// BodyLimit bounds the bodies of feed and short requests, LongBodyLimit those of long requests, in bytes.
	BodyLimit     int64
	LongBodyLimit int64
	// SlowStart is the time after the start during which the target gets a growing share of new flows and relayed requests.
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
	// ringCapacity is the capacity of each ring buffer, in datagrams.
	ringCapacity = 4096
	// retryRatio and maxSavedRetries bound the retries of idempotent requests: the retries that each request earns, and the
	// number of unused ones that the budget saves.
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
	// incarnation is the start time of this process in Unix milliseconds.
	incarnation uint64
	// announcedIncarnation is the incarnation, or a higher one if the clock of the VM's previous agent was ahead.
	announcedIncarnation atomic.Uint64
	lifecycle            *lifecycle
	socket               *net.UDPConn
	// conns holds the packet connection of each class, on which the QUIC listener of its frontend reads.
	conns          map[class.Class]*virtualConn
	frontends      []*frontend
	returnRotation *returnRotation
	// outbound holds the datagrams for callers until sendDatagrams sends them.
	outbound         *ring.Ring[outgoingDatagram]
	datagramCounters datagramCounters
	requestCounters  requestCounters
	target           *targetClient
	admission        *admission
	poolPolicy       poolPolicy
	retryBudget      *retry.Budget
	idempotency      *idempotency
	health           *healthMonitor
	peerConns        *peerConnPool
	knownPeers       knownPeers
	activeWork       *activeWork
	placements       *placements
	slowStart        slowStart
	drainControl     *drainControl
	// group runs the agent's duties, its long-lived goroutines. It stops when one of them fails.
	group *duty.Group
}

// New returns an agent that is not running yet. Its incarnation is derived from now, the start time.
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

// SetKeys replaces the keys of connection IDs and envelopes. It is safe to call while the agent runs.
func (a *Agent) SetKeys(set *keys.Set) error {
	codec, err := connid.NewCodec(set)
	if err != nil {
		return err
	}
	a.keys.Store(set)
	a.codec.Store(codec)
	return nil
}

// Run serves callers until ctx is done and then drains. It returns when the last request in progress has finished, or when
// force is done.
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

// startDuties opens the frontends and starts the duties of the agent.
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

// announcement returns the record that the agent announces to its observers.
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
