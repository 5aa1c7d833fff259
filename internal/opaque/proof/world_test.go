// Package proof drives the decisions of balancers and agents together, without a network, through random histories of
// restarts, crashes, drains, reused addresses and stale views.
package proof

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/opaque/steer"
	"gentianswitch/internal/store"
)

// Names of the services, and the address of the route to the first.
const (
	lines   = "lines"
	archive = "archive"
)

var routeAddress = flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

// host is a VM with an agent and a target.
type host struct {
	ip      hop.IP
	service string
	zone    string
	agent   *resident.Machine
	// writer is what the store holds of the VM's entry.
	writer registry.Writer
	// joinedAt is when the store was told of the target.
	joinedAt time.Time
	instance int64
	sequence int64
	// flows are those that the target holds.
	flows map[flow.ID]bool
	// halfOpen are flows that the target accepted and that their callers opened elsewhere.
	halfOpen   map[flow.ID]bool
	isDraining bool
	hasLeft    bool
	// isCut is set while no frame reaches the VM, since cutAt. goneUntil is when all balancers have heard of it again.
	isCut            bool
	cutAt, goneUntil time.Time
	// forbidden counts openings that the target got while it drained or from another service.
	forbidden int
}

// balancer is a balancer with its view.
type balancer struct {
	steer     *steer.Machine
	directory *directory.Directory
	// confirmedAt is when it has last read all targets.
	confirmedAt time.Time
}

// world is a deployment.
type world struct {
	t         *rapid.T
	now       time.Time
	revision  store.Version
	entries   map[hop.IP]item
	hosts     []*host
	balancers []*balancer
	callers   uint16
	// mostHosts bounds the VMs.
	mostHosts int
	open      []flow.ID
	opened    map[flow.ID]time.Time
	starts    int64
}

type item struct {
	entry    registry.Entry
	revision store.Version
}

// zones are the availability zones of targets and balancers.
var zones = []string{"quito", "ambato", "cuenca"}

// newWorld returns a deployment with one of the given numbers of targets.
func newWorld(t *rapid.T, least, most int) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), entries: make(map[hop.IP]item), opened: make(map[flow.ID]time.Time), mostHosts: 12}
	for i := range rapid.IntRange(least, most).Draw(t, "targets") {
		w.addHost(byte(i+1), lines)
	}
	w.addHost(200, archive)
	for range 2 {
		w.balancers = append(w.balancers, w.newBalancer())
	}
	w.now = w.now.Add(registry.JoinDelay)
	return w
}

func (w *world) addHost(n byte, service string) {
	h := &host{ip: hop.IP{10, 1, 0, n}, service: service, zone: rapid.SampledFrom(zones).Draw(w.t, "zone")}
	if err := h.writer.HandleRead(nil, 0); err != nil {
		w.t.Fatal(err)
	}
	w.hosts = append(w.hosts, h)
	w.startHost(h)
}

// startHost starts the agent and the target of a VM.
func (w *world) startHost(h *host) {
	w.startAgent(h)
	for range rapid.IntRange(0, 2*ticksOfAStart).Draw(w.t, "ticks before the target starts") {
		h.agent.Tick(w.now)
	}
	w.startTarget(h)
	w.beat(h)
}

// ticksOfAStart is the number of ticks after which a first heartbeat shows that its target has started later than its agent.
const ticksOfAStart = 2 * resident.TicksPerHeartbeat

func (w *world) startAgent(h *host) {
	h.agent = resident.New(w.now, h.ip, h.service, flowLifetime)
}

// startTarget starts a target that has made no call yet.
func (w *world) startTarget(h *host) {
	w.starts++
	h.instance, h.sequence = w.starts, 0
	h.flows, h.halfOpen = make(map[flow.ID]bool), make(map[flow.ID]bool)
	h.isDraining, h.hasLeft = false, false
}

// flowLifetime is the age from which on flows may be discarded. It is short, so that histories are longer.
const flowLifetime = 10 * time.Second

// moment is the least time between two things that an agent sees.
const moment = time.Microsecond

// beat lets a target make a call to its agent.
func (w *world) beat(h *host) {
	w.now = w.now.Add(moment)
	h.sequence++
	outcome := h.agent.HandleHeartbeat(w.now, resident.Heartbeat{
		Instance: instanceName(h), Started: h.instance, Sequence: h.sequence, Service: h.service,
		Zone: h.zone, Slots: 3, IsDraining: h.isDraining,
	})
	for _, e := range outcome.Ended {
		w.expectDead(e.ID, "an agent reset a flow")
	}
	w.write(h)
}

func instanceName(h *host) string { return fmt.Sprint("i-", h.instance) }

func (w *world) write(h *host) {
	h.writer.SetDesired(h.agent.Entry())
	if h.writer.IsUpToDate() {
		return
	}
	w.revision++
	entry, replaced := h.writer.Entry()
	if joins := h.writer.NextWriteJoins(); joins {
		h.agent.SetJoining(w.now, true)
		h.joinedAt = w.now
	}
	h.writer.HandleWritten(entry, w.revision)
	h.agent.SetJoining(w.now, false)
	if replaced == 0 {
		h.agent.SetEntryCreated()
	}
	w.entries[h.ip] = item{entry: entry, revision: w.revision}
}

func (w *world) newBalancer() *balancer {
	zone := rapid.SampledFrom(zones).Draw(w.t, "zone of a balancer")
	b := &balancer{steer: steer.New(hop.IP{10, 9, 0, 1}), directory: directory.New(hop.IP{10, 9, 0, 1}, zone)}
	table := desired.NewTable(1)
	table.Add(routeAddress, &desired.Route{Name: "r", Shares: []desired.Share{
		{Service: desired.ServiceKeyOf(lines), Name: lines, Weight: 1},
	}})
	b.steer.SetTable(w.now, table)
	w.sync(b)
	b.confirmedAt = w.now
	return b
}

// sync brings a balancer's view up to date.
func (w *world) sync(b *balancer) {
	for ip, i := range w.entries {
		b.directory.HandleEntry(w.now, ip, i.entry, i.revision)
	}
	b.steer.SetView(b.directory.View())
}

func everyHost(*host) bool { return true }

// fewHosts returns a choice of one host, whose answers arrive while those of the others are lost.
func (w *world) fewHosts() func(*host) bool {
	heard := w.anyHost()
	return func(h *host) bool { return h == heard }
}

// ping lets a balancer ping its agents for some seconds; of those that are not cut off it hears the ones that arrive picks.
func (w *world) ping(b *balancer, arrives func(*host) bool) {
	const step, length = 75 * time.Millisecond, 4 * time.Second
	for from := w.now; w.now.Sub(from) < length; w.now = w.now.Add(step) {
		for _, other := range w.balancers {
			if other == b {
				w.tick(b, arrives)
			} else {
				w.tick(other, everyHost)
			}
		}
	}
}

// tick lets a balancer ping its agents.
func (w *world) tick(b *balancer, arrives func(*host) bool) {
	for _, t := range b.directory.Targets() {
		b.directory.RecordUse(w.now, t.Agent)
	}
	pings, _ := b.directory.Tick(w.now)
	for _, p := range pings {
		if h := w.hostAt(p.Agent); h != nil && !h.isCut && arrives(h) {
			b.directory.HandlePong(w.now, p.Agent, p.Sequence)
		}
	}
	b.steer.SetView(b.directory.View())
}

// pass lets a time pass.
func (w *world) pass(length time.Duration) {
	w.now = w.now.Add(length)
	for _, b := range w.balancers {
		w.tick(b, everyHost)
	}
}

const (
	// goneAfter is the time after which a VM that no frame reaches may count as gone.
	goneAfter = 2 * time.Second
	// rarestPing is the longest time until a balancer asks such a VM again.
	rarestPing = 5 * time.Second
)

// isGone reports whether a VM was out of reach for so long that balancers may take it for gone.
func (w *world) isGone(h *host) bool {
	return h.isCut && w.now.Sub(h.cutAt) >= goneAfter || w.now.Before(h.goneUntil)
}

// expectDead expects that no target holds a flow, but for one on a VM that was out of reach for long.
func (w *world) expectDead(id flow.ID, what string) {
	for _, h := range w.hosts {
		if w.holds(h, id) && !w.isGone(h) {
			w.t.Fatalf("%s: flow %s lives on %v", what, id, h.ip)
		}
	}
}

// holds reports whether a target has to serve a flow.
func (w *world) holds(h *host, id flow.ID) bool {
	return h.flows[id] && !h.hasLeft && w.now.Sub(w.opened[id]) < flowLifetime
}

// result is what became of a packet.
type result struct {
	isReset bool
	// at is the host whose target took the packet.
	at *host
	// isLost is set when the packet went to a VM that is cut off.
	isLost bool
}

// deliver carries a caller's packet to its end.
func (w *world) deliver(b *balancer, p flow.Packet) result {
	w.now = w.now.Add(moment)
	d := b.steer.Decide(w.now, &p)
	for step := 0; ; step++ {
		if step > 20 {
			w.t.Fatalf("packet of %s goes round", p.IDFromCaller())
		}
		switch d.Verdict {
		case steer.Reset:
			if !p.Opens {
				w.expectDead(p.IDFromCaller(), "a balancer reset a flow")
			}
			return result{isReset: true}
		case steer.Revalidate:
			if w.now.Sub(b.confirmedAt) >= registry.JoinDelay {
				w.sync(b)
				b.confirmedAt = w.now
			}
			d = b.steer.HandleRevalidated(w.now, &p, &d.Header)
			continue
		case steer.Drop:
			return result{}
		}
		if d.HasSkipped {
			if at, _, _ := w.walk(b, p, d.Skipped, d.CopyHeader()); at != nil {
				return result{at: at}
			}
		}
		at, back, isLost := w.walk(b, p, d.Agent, d.Header)
		if at != nil || isLost {
			return result{at: at, isLost: isLost}
		}
		d = b.steer.HandleReturned(w.now, &p, &back)
	}
}

// walk carries a frame from agent to agent until a target takes the packet or none is left. It reports true when the frame
// went to a VM that is cut off, or was a copy that nobody took.
func (w *world) walk(b *balancer, p flow.Packet, agent hop.IP, h hop.Header) (*host, hop.Header, bool) {
	for {
		at := w.hostAt(agent)
		if at != nil && at.isCut {
			return nil, hop.Header{}, true
		}
		if at == nil {
			w.t.Fatalf("a packet went to %v, where no agent is", agent)
		}
		d := at.agent.HandleCallerPacket(w.now, &p, &h)
		if d.NotifyOrigin {
			b.steer.SetLocation(w.now, p.IDFromCaller(), at.ip, desired.ServiceKeyOf(at.service))
		}
		if d.Verdict == resident.Deliver {
			if w.take(at, p) {
				return at, hop.Header{}, false
			}
			bounced := p
			bounced.IsBounced, bounced.Mark = true, d.Mark
			d = at.agent.HandleTargetPacket(w.now, &bounced)
		}
		switch d.Verdict {
		case resident.Wait:
			return nil, hop.Header{}, true
		case resident.ForwardNext:
			agent, h = d.Next, d.Header
		case resident.ReturnToBalancer:
			return nil, d.Header, false
		case resident.Drop:
			if h.IsDuplicate {
				return nil, hop.Header{}, true
			}
			w.t.Fatalf("%s dropped a packet of %s", d.Reason, p.IDFromCaller())
		default:
			w.t.Fatalf("verdict %s for %s", d.Verdict, p.IDFromCaller())
		}
	}
}

// take gives a packet to a target and reports whether it keeps it.
func (w *world) take(h *host, p flow.Packet) bool {
	id := p.IDFromCaller()
	if p.Opens && !h.hasLeft {
		if h.service != lines || h.isDraining && !h.flows[id] && !h.halfOpen[id] {
			h.forbidden++
		}
		h.flows[id] = true
		h.agent.HandleTargetPacket(w.now, &flow.Packet{Source: id.Address, Destination: id.Caller, Accepts: true})
		return true
	}
	if h.hasLeft || !h.flows[id] {
		return false
	}
	h.agent.HandleTargetPacket(w.now, &flow.Packet{Source: id.Address, Destination: id.Caller, Payload: 10})
	return true
}

func (w *world) hostAt(ip hop.IP) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.ip == ip })
	if i < 0 {
		return nil
	}
	return w.hosts[i]
}

func (w *world) anyHost() *host { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host")] }

func (w *world) anyBalancer() *balancer {
	return w.balancers[rapid.IntRange(0, len(w.balancers)-1).Draw(w.t, "balancer")]
}
