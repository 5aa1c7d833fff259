// Package balancer implements the goroutines (duties) of gentian-balancer. It receives callers' datagrams, selects a target for
// each with package route, sends them to agents in envelopes, and sends the agents' datagrams back to the callers.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/control"
	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
	"gentianswitch/internal/ring"
	"gentianswitch/internal/route"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

// Settings are the validated settings of a balancer.
type Settings struct {
	// Zone is the availability zone of the VM.
	Zone string
	// Data is the address of the UDP socket for envelopes to and from agents.
	Data netip.AddrPort
	// Control is the address of the listener for control connections.
	Control netip.AddrPort
	// BindIP is the local IP on which the ports of routes are bound, for networks that rewrite the destination address. The
	// addresses of routes then need distinct ports. With the zero Addr the ports are bound on every address of the VM.
	BindIP netip.Addr
	// AgentNetworks are the networks that contain all agents. An empty list allows every address.
	AgentNetworks []netip.Prefix
	// Placement selects the target of a new flow among the ready targets of a pool in one availability zone.
	Placement route.Strategy
	// Store is the address of the platform's key-value store.
	Store string
	// Peers are the control addresses of the balancers to connect to first. They report the other balancers.
	Peers []netip.AddrPort
	// Detection is the strategy that decides when a target has failed.
	Detection member.Detection
}

const (
	// ringCapacity is the number of batches that a ring holds.
	ringCapacity = 64
	// heartbeatInterval is the time between two heartbeats to an agent on the data path.
	heartbeatInterval = 250 * time.Millisecond
)

// Balancer is a running balancer.
type Balancer struct {
	settings    Settings
	log         *events.Logger
	scope       tally.Scope
	credentials *control.Credentials
	store       store.Store
	keys        atomic.Pointer[keys.Set]
	table       atomic.Pointer[route.Table]
	shared      *sharedState
	membership  *membership
	// tableMu serializes replacements of table.
	tableMu sync.Mutex
	// applyMu serializes the application of revisions.
	applyMu sync.Mutex
	// dataSocket exchanges envelopes with agents.
	dataSocket *listener
	listeners  *listeners
	// freeBatches holds batches for reuse, up to as many as the four other rings hold. These connect the goroutines of the data
	// path, see startPath.
	freeBatches *ring.Ring[*batch]
	toAgents    *ring.Ring[*batch]
	toCallers   *ring.Ring[*batch]
	fromCallers *ring.Ring[*batch]
	fromAgents  *ring.Ring[*batch]
	counters    counters
	// isLeaving is true once this balancer has started to shut down.
	isLeaving    atomic.Bool
	leaveNotices leaveNotices
	group        *duty.Group
}

// New returns a balancer. Run starts it.
func New(
	settings Settings, set *keys.Set, credentials *control.Credentials, kv store.Store,
	log *events.Logger, scope tally.Scope,
) (*Balancer, error) {
	b := &Balancer{
		settings:     settings,
		log:          log,
		scope:        scope,
		credentials:  credentials,
		store:        kv,
		shared:       newSharedState(),
		freeBatches:  ring.New[*batch](4 * ringCapacity),
		fromCallers:  ring.New[*batch](ringCapacity),
		toAgents:     ring.New[*batch](ringCapacity),
		fromAgents:   ring.New[*batch](ringCapacity),
		toCallers:    ring.New[*batch](ringCapacity),
		counters:     newCounters(scope),
		leaveNotices: make(leaveNotices),
	}
	b.listeners = newListeners(settings.BindIP)
	b.membership = newMembership(b, time.Now())
	table, err := route.NewTable(set, settings.AgentNetworks, settings.Placement)
	if err != nil {
		return nil, err
	}
	b.keys.Store(set)
	b.table.Store(table)
	return b, nil
}

// SetKeys replaces the keys for connection IDs and envelopes.
func (b *Balancer) SetKeys(set *keys.Set) error {
	b.tableMu.Lock()
	defer b.tableMu.Unlock()
	next, err := b.table.Load().WithKeys(set)
	if err != nil {
		return err
	}
	b.keys.Store(set)
	b.table.Store(next)
	return nil
}

// updateTargets replaces targets in the routing table. Only the membership goroutine calls it.
func (b *Balancer) updateTargets(removed, added []member.Target) {
	b.tableMu.Lock()
	defer b.tableMu.Unlock()
	b.table.Store(b.table.Load().WithTargets(removed, added))
}

// updateTables replaces the routes and pools of the routing table. The caller holds applyMu.
func (b *Balancer) updateTables(declared *tables.Tables) {
	b.tableMu.Lock()
	defer b.tableMu.Unlock()
	b.table.Store(b.table.Load().WithTables(declared))
}

// Run serves until ctx ends, then shuts down. It returns once every datagram that was received has been sent.
func (b *Balancer) Run(ctx context.Context) error {
	dataSocket, err := openListener(b.settings.Data)
	if err != nil {
		return eris.Wrap(err, "open data socket")
	}
	b.dataSocket = dataSocket
	controlListener, err := net.Listen("tcp4", b.settings.Control.String())
	if err != nil {
		return eris.Wrap(err, "open control listener")
	}
	b.group = duty.NewGroup(context.WithoutCancel(ctx))
	b.startPath()
	b.group.Go("control", func(ctx context.Context) error {
		return control.Serve(ctx, controlListener, b.credentials, b.serveControl)
	})
	b.group.Go("watch store", b.watchStore)
	b.group.Go("membership", b.membership.run)
	b.group.Go("heartbeat", b.sendHeartbeats)
	b.group.Go("close idle listeners", b.closeIdleListeners)
	b.group.Go("stop", func(running context.Context) error {
		select {
		case <-ctx.Done():
			b.leaveDataPath(running)
			b.leaveMembership(running)
			b.group.Stop()
		case <-running.Done():
		}
		return nil
	})
	err = b.group.Wait()
	b.flush()
	b.listeners.closeAll()
	b.dataSocket.close()
	return err
}
