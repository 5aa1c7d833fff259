// Package forwarder runs a balancer of opaque flows: the sockets and calls around the decisions of steer and directory.
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
	"gentianswitch/internal/opaque/socket"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/ring"
	"gentianswitch/internal/store"
)

// maxAsking bounds the balancers that wait for a reading of this one at a time: those of a group.
const maxAsking = 256

// Settings are what a forwarder needs to know of its VM.
type Settings struct {
	Zone string
	// Data receives callers' packets. Agents receive frames at the same port, and callers answers.
	Data netip.AddrPort
	// Peer receives frames of agents (UDP) and answers balancers that ask for the state of this one (TCP).
	Peer netip.AddrPort
	// Ready answers whether this balancer takes packets.
	Ready netip.AddrPort
	// Seeds are balancers that this one asks when it cannot read the store. Only their IPs are used.
	Seeds []netip.AddrPort
	// Linger is the time for which a balancer that stops goes on forwarding after it has said that it is not ready.
	Linger time.Duration
}

// Configuration tells where the routes are and how to read them.
type Configuration struct {
	Key    string
	Decode func(raw []byte) (*desired.Table, error)
}

// Dependencies are the collaborators of a forwarder.
type Dependencies struct {
	Codec         flow.Codec
	Store         store.Feed
	Configuration Configuration
	// ReadyHandler makes the handler that answers whether the balancer takes packets.
	ReadyHandler func(isReady func() bool) http.Handler
	Log          *events.Logger
	Scope        tally.Scope
}

// Forwarder is a balancer of opaque flows.
type Forwarder struct {
	settings Settings
	parts    Dependencies
	self     hop.IP
	data     *net.UDPConn
	peer     *net.UDPConn
	counters counters

	// mu guards the decisions.
	mu        sync.Mutex
	steer     *steer.Machine
	directory *directory.Directory
	// isListed is set once the targets have been read.
	isListed bool
	// storeHeardAt is when the store has answered last.
	storeHeardAt time.Time
	// document is the configuration in force as the store held it, and packed the same for other balancers.
	document store.Item
	packed   handover.Item
	// followedTo is the revision up to which the store's changes are taken, or zero before its state is known. wholeAt is
	// that of the last whole state: removals before it may not be known.
	followedTo, wholeAt store.Version
	// isStoreLost is set from a failed call to the store until one succeeds.
	isStoreLost bool
	// askedAt is when the call to the store that is under way began, or zero.
	askedAt time.Time
	// readers decides whether this balancer follows the store. wasServed is whether it did so and was answered at the last
	// check, announced the revision that the group has been told of.
	readers   *readers.Selector
	wasServed bool
	announced store.Version

	// informed is closed when the routes and the targets are known for the first time.
	informed chan struct{}
	// roleChanged is signalled when the choice of readers has changed.
	roleChanged chan struct{}
	// ahead are balancers that know more than this one.
	ahead *ring.Ring[ahead]
	// heldReported is the number of dropped held packets in the metrics. Only the duty report uses it.
	heldReported int64
	// confirmation tells whether the view holds the target of every open flow.
	confirmation confirmation
	// held are packets that wait for the confirmation that no target holds their flow.
	held *ring.Ring[heldPacket]

	// changes are the readings of the last change of the targets, for this balancer and its group. maxAsking bounds the
	// balancers that wait for one.
	changes rounds[store.Version]
	asking  *semaphore.Weighted
	// told are the answers of readers, asked the sequence of the last question. Only the duty confirm uses asked.
	told  *ring.Ring[told]
	asked uint16

	isStopping atomic.Bool
	isReady    atomic.Bool
}

// New returns a forwarder that does not run yet.
func New(settings Settings, parts Dependencies) *Forwarder {
	self := hop.IP(settings.Data.Addr().As4())
	f := &Forwarder{
		settings: settings, parts: parts, self: self, counters: newCounters(parts.Scope),
		steer: steer.New(self), directory: directory.New(self, settings.Zone),
		informed: make(chan struct{}), held: ring.New[heldPacket](maxHeld),
		ahead: ring.New[ahead](1), readers: readers.NewSelector(self), roleChanged: make(chan struct{}, 1),
	}
	f.changes.read, f.changes.clock, f.changes.spacing = f.readChanges, bootTime, confirmSpacing
	f.asking, f.told = semaphore.NewWeighted(maxAsking), ring.New[told](1)
	return f
}

// Run forwards packets until stopping ends, and for the linger time after it.
func (f *Forwarder) Run(stopping context.Context) error {
	if err := f.open(); err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	group := duty.NewGroup(ctx)
	group.Go("receive", f.receiveAll)
	group.Go("peers", f.receiveFrames)
	group.Go("reachability", f.checkAll)
	group.Go("follow", f.follow)
	group.Go("confirm", f.confirmAll)
	group.Go("readiness", f.serveReadiness)
	group.Go("report", f.reportAll)
	group.Go("seeds", f.askSeeds)
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

// stop tells the routers that this balancer leaves and goes on until they have noticed.
func (f *Forwarder) stop(ctx context.Context) {
	f.isStopping.Store(true)
	f.parts.Log.Emit(events.ProcessStopping, events.F("signal", "term"))
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

// serveReadiness answers the routers until ctx ends.
func (f *Forwarder) serveReadiness(ctx context.Context) error {
	handler := f.parts.ReadyHandler(func() bool { return f.isReady.Load() && !f.isStopping.Load() })
	return socket.ServeHTTP(ctx, f.settings.Ready, handler)
}

// serveHandover answers balancers that ask for the state of this one until ctx ends.
func (f *Forwarder) serveHandover(ctx context.Context) error {
	server := handover.Server{Current: f.state, Failed: func(err error) { f.handoverFailed(f.settings.Peer.String(), err) }}
	return server.Run(ctx, f.settings.Peer)
}
