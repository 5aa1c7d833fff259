// Package forwarder runs a balancer of opaque flows. It owns the sockets and the calls to the store; the packages steer and
// directory make the decisions.
//
// A balancer reads the configuration (the routes) and the targets from the store when it starts. After that it watches the
// store only while it is a reader, one of the few balancers of its group that do. The others fetch changes from a reader or
// from another balancer that is ahead of them. Agents act as hubs, through which the balancers of a group learn of each other's
// state.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/handover"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/readers"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/socket"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/ring"
	"gentianswitch/internal/store"
)

// maxServedRequests bounds the requests of other balancers that this reader serves at the same time.
const maxServedRequests = 256

// Settings are the addresses and times that a forwarder is configured with.
type Settings struct {
	Zone string
	// Data is where callers' packets arrive and answers to callers are sent from. Agents receive frames at the same port of
	// their own addresses.
	Data netip.AddrPort
	// Peer is where frames of agents and balancers (UDP) and state requests of other balancers (TCP) arrive.
	Peer netip.AddrPort
	// Ready is where routers query whether this balancer accepts packets.
	Ready netip.AddrPort
	// Seeds are balancers whose state this one fetches when it starts. Only their IPs are used; the port is that of Peer.
	Seeds []netip.AddrPort
	// Linger is the time for which a stopping balancer keeps forwarding after it has begun to report that it is not ready.
	Linger time.Duration
}

// Configuration describes what operators write to the store.
type Configuration struct {
	// Prefix is the common prefix of the operators' keys, Key is that of the routes, and Decode decodes the value of Key.
	Prefix, Key string
	Decode      func(raw []byte) (*desired.Table, error)
	// EvacuatedZone returns the availability zone that is evacuated while the store holds a key. It reports false for other keys.
	EvacuatedZone func(key string) (zone string, isEvacuation bool)
}

// Dependencies are the collaborators of a forwarder. The program that runs it creates them.
type Dependencies struct {
	Codec         flow.Codec
	Store         store.WatchableStore
	Configuration Configuration
	// ReadyHandler returns the handler that reports whether the balancer accepts packets.
	ReadyHandler func(isReady func() bool) http.Handler
	Log          *events.Logger
	Scope        tally.Scope
}

// Forwarder is a balancer of opaque flows.
type Forwarder struct {
	settings Settings
	deps     Dependencies
	self     hop.IP
	data     *net.UDPConn
	peer     *net.UDPConn
	counters counters

	// mu guards the fields from here down to announcedRevision, and freshness.
	mu        sync.Mutex
	steer     *steer.Machine
	directory *directory.Directory
	// evacuations are the availability zones whose targets receive no new flows.
	evacuations desired.Evacuations
	// hasListedTargets is set once all targets have been listed.
	hasListedTargets bool
	// storeAnsweredAt is the time of the last successful call to the store.
	storeAnsweredAt time.Time
	// document is the configuration in force as the store holds it. packedDocument is the configuration of packedVersion,
	// compressed for other balancers.
	document       store.Item
	packedDocument handover.Item
	packedVersion  uint64
	// appliedRevision is the revision up to which the store's changes are applied, or zero while the complete state is not
	// known. snapshotRevision is the revision of the last snapshot. Targets that were removed before it may be unknown.
	appliedRevision, snapshotRevision store.Version
	// watchedRevision is the revision from which the watch continues. It is above appliedRevision when all changes in between are of
	// the agents' records of flows, which balancers do not use: they are not announced, so no balancer fetches them.
	watchedRevision store.Version
	// isStoreUnavailable is set from a failed call to the store until one succeeds.
	isStoreUnavailable bool
	// storeCallStartedAt is the start of the call to the store in progress, or zero.
	storeCallStartedAt time.Time
	// readers decides whether this balancer watches the store. wasWatching is set when it did so successfully at the last tick.
	// announcedRevision is the revision that the group was last notified of.
	readers           *readers.Selector
	wasWatching       bool
	announcedRevision store.Version

	// settlement decides whether the store holds the entry of every target.
	settlement *registry.Settlement

	// initialized is closed once the configuration and the targets are known.
	initialized chan struct{}
	// roleChanged signals that this balancer has started or stopped being a reader.
	roleChanged chan struct{}
	// catchUpSources holds the balancer whose state is fetched next. That balancer is ahead of this one.
	catchUpSources *ring.Ring[catchUpSource]
	// reportedPendingDrops is the number of dropped pending packets that the metrics include. Only reportGauges uses it.
	reportedPendingDrops int64
	// freshness records until when the view includes the target of every open flow.
	freshness viewFreshness
	// pendingPackets are packets that wait until the view has been revalidated. Without that, a target that the view lacks may
	// hold their flow.
	pendingPackets *ring.Ring[pendingPacket]

	// lastChange reads the revision of the last change of any target's entry, for this balancer and its group. servedRequests
	// bounds the requests of the group that wait for a read.
	lastChange     readCoalescer[store.Version]
	servedRequests *semaphore.Weighted
	// newestTable reads the version of the newest table, for this balancer and its group.
	newestTable readCoalescer[uint64]
	// readerReplies are the answers of readers, and requestSequence is the sequence number of the last request. Only
	// revalidatePending uses requestSequence.
	readerReplies   *ring.Ring[readerReply]
	requestSequence uint16

	isStopping atomic.Bool
	isReady    atomic.Bool
}

// New returns a forwarder. Run starts it.
func New(settings Settings, deps Dependencies) *Forwarder {
	self := hop.IP(settings.Data.Addr().As4())
	f := &Forwarder{
		settings: settings, deps: deps, self: self, counters: newCounters(deps.Scope),
		steer: steer.New(self), directory: directory.New(self, settings.Zone),
		initialized: make(chan struct{}), pendingPackets: ring.New[pendingPacket](maxPendingPackets),
		catchUpSources: ring.New[catchUpSource](1), readers: readers.NewSelector(self), roleChanged: make(chan struct{}, 1),
		settlement: registry.NewSettlement(registry.SpreadDelay(self, registry.MaxSettleDelay)),
	}
	f.lastChange.read, f.lastChange.clock, f.lastChange.minInterval = f.readLastChange, bootTime, minReadInterval
	f.newestTable.read, f.newestTable.clock, f.newestTable.minInterval = f.readNewestTable, bootTime, minReadInterval
	f.servedRequests, f.readerReplies = semaphore.NewWeighted(maxServedRequests), ring.New[readerReply](1)
	return f
}

// Run forwards packets until stopping is canceled, and for the linger time after that. It returns the error that ended it
// early.
func (f *Forwarder) Run(stopping context.Context) error {
	if err := f.open(); err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	group := duty.NewGroup(ctx)
	// The names of the duties appear in error messages.
	group.Go("receive", f.receivePackets)
	group.Go("peers", f.receiveFrames)
	group.Go("reachability", f.checkAgents)
	group.Go("follow", f.watchStore)
	group.Go("confirm", f.revalidatePending)
	group.Go("readiness", f.serveReadiness)
	group.Go("report", f.reportGauges)
	group.Go("seeds", f.fetchFromSeeds)
	group.Go("catch up", f.catchUp)
	group.Go("handover", f.serveHandover)
	group.Go("stop", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-stopping.Done():
			f.stop(ctx)
			group.Stop()
			f.close()
		}
		return nil
	})
	return group.Wait()
}

// stop reports to the routers that this balancer is not ready, and returns after the time in which they notice it.
func (f *Forwarder) stop(ctx context.Context) {
	f.isStopping.Store(true)
	f.deps.Log.Emit(events.ProcessStopping, events.F("signal", "term"))
	select {
	case <-ctx.Done():
	case <-time.After(f.settings.Linger):
	}
}

func (f *Forwarder) open() error {
	var err error
	if f.data, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.settings.Data)); err != nil {
		return eris.Wrapf(err, "listen for callers on %s", f.settings.Data)
	}
	if f.peer, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(f.settings.Peer)); err != nil {
		return eris.Wrapf(err, "listen for agents on %s", f.settings.Peer)
	}
	return nil
}

func (f *Forwarder) close() {
	_ = f.data.Close()
	_ = f.peer.Close()
}

// serveReadiness serves the readiness checks of the routers until ctx ends.
func (f *Forwarder) serveReadiness(ctx context.Context) error {
	handler := f.deps.ReadyHandler(func() bool { return f.isReady.Load() && !f.isStopping.Load() })
	return socket.ServeHTTP(ctx, f.settings.Ready, handler)
}

// serveHandover serves this balancer's configuration and targets to other balancers until ctx ends.
func (f *Forwarder) serveHandover(ctx context.Context) error {
	server := handover.Server{
		StateFor: f.handoverState,
		OnError:  func(err error) { f.logHandoverFailure(f.settings.Peer.String(), err) },
	}
	return server.Run(ctx, f.settings.Peer)
}
