// Package sidecar runs the agent beside a target of opaque flows: the sockets and store calls around the decisions of the
// packages gate, resident and registry.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/gate"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/readers"
	"gentianswitch/internal/opaque/record"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/opaque/socket"
	"gentianswitch/internal/store"
)

// Settings are the settings of an agent, its VM and its target.
type Settings struct {
	// Data is where frames of balancers and agents are received. Its port is the same for all agents, and callers receive
	// answers at the same port of their own addresses.
	Data netip.AddrPort
	// Outbound is where the packets of the target are received.
	Outbound netip.AddrPort
	// Target is where the target receives packets.
	Target netip.AddrPort
	// Announce is where the target's heartbeats are received.
	Announce netip.AddrPort
	// PeerPort is the port at which balancers receive frames.
	PeerPort uint16
	// Service is the name of the service that the target runs.
	Service string
	// Heartbeat is the interval of the target's heartbeats.
	Heartbeat time.Duration
	// ProbesTarget is set if the target also listens for TCP connections at Target, as long as it runs. A refused connection then ends its
	// flows while a heartbeat is overdue.
	ProbesTarget bool
	// Grace is the time after which a stopping agent is killed.
	Grace time.Duration
	// FlowLifetime is the age from which flows may be discarded.
	FlowLifetime time.Duration
	// OpeningLimit bounds the opening packets that a cold target receives.
	OpeningLimit resident.OpeningLimit
}

// HeartbeatHandler handles what the target reports about itself. Sidecar implements it.
type HeartbeatHandler interface {
	// HandleHeartbeat handles a heartbeat of the target at address. It returns an error when that is not the target of this
	// agent.
	HandleHeartbeat(h resident.Heartbeat, address string) error
	// HandleLeave handles the report of an instance that it shuts down.
	HandleLeave(instance string)
	// HandleRefused handles a heartbeat that is not applied because it cannot be decoded or HandleHeartbeat returned an error.
	HandleRefused(instance string, err error)
}

// Dependencies are the collaborators of an agent.
type Dependencies struct {
	Codec flow.Codec
	Store store.WatchableStore
	// NewHeartbeatHandler returns the HTTP handler that decodes the target's heartbeats for the given handler.
	NewHeartbeatHandler func(to HeartbeatHandler) http.Handler
	Log                 *events.Logger
	Scope               tally.Scope
}

// Sidecar is the agent beside a target of opaque flows.
type Sidecar struct {
	settings  Settings
	deps      Dependencies
	self      hop.IP
	startedAt time.Time
	data      *net.UDPConn
	outbound  *net.UDPConn
	counters  counters
	// entryChanged is signalled when the target's entry has to be written or checked.
	entryChanged chan struct{}
	// recordChanged is signalled when the record of the flows may have to be read, or its flows reset.
	recordChanged chan struct{}
	// checkDelay is the delay of the check of the entry after a restoration of the store.
	checkDelay time.Duration

	// newestConfiguration is the highest configuration version that a balancer has reported, and a balancer that holds it. hub
	// holds the status of the balancers that exchange it through this agent. Only receiveFrames uses them.
	newestConfiguration hop.ConfigurationSource
	hub                 *readers.Hub

	// mu guards the fields below.
	mu     sync.Mutex
	gate   *gate.Gate[[]byte]
	writer registry.Writer
	// lastHeartbeatAt is when the last heartbeat of the target was received, or zero.
	lastHeartbeatAt time.Time
	// isNeverWritten is set while the store holds no entry and cannot have lost one.
	isNeverWritten bool
	// isStoreUnavailable is set from a failed store call until one succeeds.
	isStoreUnavailable bool
	records            *record.Machine
}

// New returns a sidecar. Run starts it.
func New(settings Settings, deps Dependencies) *Sidecar {
	self := hop.IP(settings.Data.Addr().As4())
	s := &Sidecar{
		settings: settings, deps: deps, self: self, startedAt: time.Now(), counters: newCounters(deps.Scope),
		entryChanged: make(chan struct{}, 1), checkDelay: registry.SpreadDelay(self, registry.MaxCheckDelay),
		recordChanged: make(chan struct{}, 1),
		records:       record.New(self, desired.ServiceKeyOf(settings.Service), registry.SpreadDelay(self, record.MinWriteInterval)),
		hub:           readers.NewHub(),
		gate:          gate.New[[]byte](resident.New(time.Now(), self, settings.Service, settings.FlowLifetime)),
	}
	s.gate.SetOpeningLimit(settings.OpeningLimit)
	return s
}

// Run serves until stopping is canceled, and after that until the agent may shut down or the grace time is nearly over. A
// draining target, for example, first finishes its flows (see resident.Machine.CanStop). Any other target continues, and the
// next agent process takes over. Run returns the error that ended it early.
func (s *Sidecar) Run(stopping context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := duty.NewGroup(ctx)
	// The names of the duties appear in error messages.
	group.Go("receive", s.receiveFrames)
	group.Go("outbound", s.receiveFromTarget)
	group.Go("announcements", s.serveHeartbeats)
	group.Go("entry", s.maintainEntry)
	group.Go("sweep", s.sweepFlows)
	group.Go("record", s.maintainRecord)
	group.Go("presence", s.watchTarget)
	group.Go("probe", s.probeTarget)
	group.Go("openings", s.expirePending)
	group.Go("stop", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-stopping.Done():
			s.stop(ctx)
			group.Stop()
		}
		_ = s.data.Close()
		_ = s.outbound.Close()
		return nil
	})
	err := group.Wait()
	s.flushEntry()
	return err
}

const (
	// stopInterval is the time between two checks whether the agent may shut down.
	stopInterval = 50 * time.Millisecond
	// stopReserve is the part of the grace time that is reserved for the last store call and the exit of the process.
	stopReserve = flushTimeout + 100*time.Millisecond
)

// stop waits until the agent may shut down or the grace time is nearly over. Then it redirects the pending opening packets.
func (s *Sidecar) stop(ctx context.Context) {
	canStop := func(now time.Time) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gate.CanStop(now, s.writer.IsUpToDate())
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Grace-stopReserve)
	defer cancel()
	canStopNow := canStop(time.Now())
	s.deps.Log.Emit(events.ProcessStopping, events.F("signal", "term"), events.F("waits", !canStopNow))
	if !canStopNow {
		duty.Every(ctx, stopInterval, func(now time.Time) {
			if canStop(now) {
				cancel()
			}
		})
	}
	s.redirectPending(resident.Stopping)
}

func (s *Sidecar) listen() error {
	var err error
	if s.data, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.settings.Data)); err != nil {
		return eris.Wrapf(err, "listen for balancers on %s", s.settings.Data)
	}
	if s.outbound, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.settings.Outbound)); err != nil {
		return eris.Wrapf(err, "listen for the target on %s", s.settings.Outbound)
	}
	return nil
}

// serveHeartbeats receives the target's heartbeats until ctx ends.
func (s *Sidecar) serveHeartbeats(ctx context.Context) error {
	return socket.ServeHTTP(ctx, s.settings.Announce, s.deps.NewHeartbeatHandler(s))
}

// sweepFlows removes finished and expired flows, and updates the gauges, until ctx ends.
func (s *Sidecar) sweepFlows(ctx context.Context) error {
	duty.Every(ctx, gate.SweepInterval, func(now time.Time) {
		s.mu.Lock()
		s.gate.Sweep(now)
		flows, waiting := s.gate.FlowCount(), s.gate.PendingCount()
		isEvacuated, acceptedAt := s.gate.IsEvacuated(), s.gate.LastAcceptedAt()
		warmupLeft := s.gate.WarmupLeft(now)
		s.mu.Unlock()
		evacuatedFlows := 0
		if isEvacuated {
			evacuatedFlows = flows
		}
		s.counters.evacuatedFlows.Update(float64(evacuatedFlows))
		if !acceptedAt.IsZero() {
			s.counters.lastAccepted.Update(now.Sub(acceptedAt).Seconds())
		}
		s.counters.warmupLeft.Update(warmupLeft.Seconds())
		s.counters.flows.Update(float64(flows))
		s.counters.waiting.Update(float64(waiting))
	})
	return nil
}
