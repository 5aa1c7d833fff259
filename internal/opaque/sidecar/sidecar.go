// Package sidecar runs the agent beside a target of opaque flows: the sockets and calls around the decisions of resident
// and registry.
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
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/gate"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/readers"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/opaque/socket"
	"gentianswitch/internal/store"
)

// Settings are what an agent needs to know of its VM and its target.
type Settings struct {
	// Data receives frames of balancers and agents. Agents receive at the same port everywhere, and callers answers.
	Data netip.AddrPort
	// Outbound receives the packets of the target.
	Outbound netip.AddrPort
	// Target is where the target receives packets.
	Target netip.AddrPort
	// Announce receives the target's heartbeats.
	Announce netip.AddrPort
	// Peer is the port at which balancers receive frames.
	PeerPort uint16
	// Service is the name of the service that the target runs.
	Service string
	// Heartbeat is the interval of the target's heartbeats.
	Heartbeat time.Duration
	// Grace is the time after which an agent that was told to stop is killed.
	Grace time.Duration
	// FlowLifetime is the age from which on flows may be discarded.
	FlowLifetime time.Duration
}

// HeartbeatHandler takes what the target says of itself. The sidecar implements it.
type HeartbeatHandler interface {
	// HandleHeartbeat takes a heartbeat of the target at address. An error means that it names no target of this agent.
	HandleHeartbeat(h resident.Heartbeat, address string) error
	// HandleLeave takes the end of an instance.
	HandleLeave(instance string)
	// HandleMalformed takes a heartbeat that cannot be read.
	HandleMalformed(instance string, err error)
}

// Dependencies are the collaborators of an agent.
type Dependencies struct {
	Codec flow.Codec
	Store store.Feed
	// AnnounceHandler makes the handler of the target's heartbeats.
	AnnounceHandler func(to HeartbeatHandler) http.Handler
	Log             *events.Logger
	Scope           tally.Scope
}

// Sidecar is the agent beside a target of opaque flows.
type Sidecar struct {
	settings  Settings
	parts     Dependencies
	self      hop.IP
	startedAt time.Time
	data      *net.UDPConn
	outbound  *net.UDPConn
	counters  counters
	// changed is signalled when the entry of the target has to be written.
	changed chan struct{}

	// highest is the highest configuration version that a balancer has told of, and board what balancers that meet here
	// report. Only the duty receive uses them.
	highest hop.ConfigurationSource
	board   *readers.Hub

	// mu guards the decisions.
	mu     sync.Mutex
	gate   *gate.Gate[[]byte]
	writer registry.Writer
	// heardAt is when the last heartbeat of the target was taken, or zero.
	heardAt time.Time
	// isStoreLost is set from a failed call to the store until one succeeds.
	isStoreLost bool
}

// New returns a sidecar that does not run yet.
func New(settings Settings, parts Dependencies) *Sidecar {
	self := hop.IP(settings.Data.Addr().As4())
	return &Sidecar{
		settings: settings, parts: parts, self: self, startedAt: time.Now(), counters: newCounters(parts.Scope),
		changed: make(chan struct{}, 1), board: readers.NewHub(),
		gate: gate.New[[]byte](resident.New(time.Now(), self, settings.Service, settings.FlowLifetime)),
	}
}

// Run serves until stopping ends. A target that leaves is served until it has left. Any other goes on, and the next process
// takes over.
func (s *Sidecar) Run(stopping context.Context) error {
	if err := s.open(); err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	group := duty.NewGroup(ctx)
	group.Go("receive", s.receiveFrames)
	group.Go("outbound", s.receiveFromTarget)
	group.Go("announcements", s.serveAnnouncements)
	group.Go("entry", s.keepEntry)
	group.Go("sweep", s.sweep)
	group.Go("presence", s.watchTarget)
	group.Go("openings", s.endOverdue)
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
	// stopInterval is the time between two looks whether the agent may end.
	stopInterval = 50 * time.Millisecond
	// stopReserve is the part of the grace time that is left for the last call to the store and the end of the process.
	stopReserve = flushLimit + 100*time.Millisecond
)

// stop waits until the agent may end, and hands on the openings that wait for its target.
func (s *Sidecar) stop(ctx context.Context) {
	mayStop := func(now time.Time) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.gate.CanStop(now, s.writer.IsUpToDate())
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Grace-stopReserve)
	defer cancel()
	isNow := mayStop(time.Now())
	s.parts.Log.Emit(events.ProcessStopping, events.F("signal", "term"), events.F("waits", !isNow))
	if !isNow {
		duty.Every(ctx, stopInterval, func(now time.Time) {
			if mayStop(now) {
				cancel()
			}
		})
	}
	s.handOnWaiting()
}

func (s *Sidecar) open() error {
	var err error
	if s.data, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.settings.Data)); err != nil {
		return eris.Wrapf(err, "listen for balancers on %s", s.settings.Data)
	}
	if s.outbound, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.settings.Outbound)); err != nil {
		return eris.Wrapf(err, "listen for the target on %s", s.settings.Outbound)
	}
	return nil
}

func (s *Sidecar) serveAnnouncements(ctx context.Context) error {
	return socket.ServeHTTP(ctx, s.settings.Announce, s.parts.AnnounceHandler(s))
}

func (s *Sidecar) sweep(ctx context.Context) error {
	duty.Every(ctx, gate.SweepInterval, func(now time.Time) {
		s.mu.Lock()
		s.gate.Sweep(now)
		flows, waiting := s.gate.FlowCount(), s.gate.PendingCount()
		s.mu.Unlock()
		s.counters.flows.Update(float64(flows))
		s.counters.waiting.Update(float64(waiting))
	})
	return nil
}
