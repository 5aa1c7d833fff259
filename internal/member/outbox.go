package member

import (
	"slices"
	"time"
)

// maxBatchRecords is the number of records in one message. The rest waits for the next tick.
const maxBatchRecords = 2000

type recordKind uint8

const (
	kindTarget recordKind = iota + 1
	kindBalancer
	kindObservation
	kindZone
)

// recordID names a record; the newest version of it is sent.
type recordID struct {
	kind     recordKind
	subject  id
	observer id
	zone     string
}

// outbox holds the records that wait to be sent to one connected balancer, in order.
type outbox struct {
	queue   []recordID
	waiting map[recordID]struct{}
	sentAt  time.Time
}

func (o *outbox) add(r recordID) {
	if _, ok := o.waiting[r]; ok {
		return
	}
	o.waiting[r] = struct{}{}
	o.queue = append(o.queue, r)
}

// take removes and returns at most n records.
func (o *outbox) take(n int) []recordID {
	var taken []recordID
	i := 0
	for ; i < len(o.queue) && len(taken) < n; i++ {
		if _, ok := o.waiting[o.queue[i]]; ok {
			delete(o.waiting, o.queue[i])
			taken = append(taken, o.queue[i])
		}
	}
	o.queue = slices.Clone(o.queue[i:])
	return taken
}

// spread queues a record for every connected balancer but the one that it came from.
func (m *Machine) spread(r recordID, from id) {
	for peer, box := range m.outboxes {
		if peer != from {
			box.add(r)
		}
	}
}

// acknowledge notes that a peer has sent a record that is already known. One that is the same is not sent to it; one
// that is older is answered with the newer one.
func (m *Machine) acknowledge(r recordID, from id, isSame bool) {
	box := m.outboxes[from]
	if box == nil {
		return
	}
	if isSame {
		delete(box.waiting, r)
		return
	}
	box.add(r)
}

// flush sends each connected balancer what waits for it, or a heartbeat when nothing did for HeartbeatInterval.
func (m *Machine) flush(now time.Time) {
	for _, peer := range m.connected() {
		box := m.outboxes[peer]
		records := box.take(maxBatchRecords)
		if len(records) == 0 && now.Sub(box.sentAt) < HeartbeatInterval {
			continue
		}
		box.sentAt = now
		m.act(Send{To: peer.address(), Gossip: Gossip{Changes: m.collect(records)}})
	}
}

func (m *Machine) connected() []id {
	peers := make([]id, 0, len(m.outboxes))
	for peer := range m.outboxes {
		peers = append(peers, peer)
	}
	slices.Sort(peers)
	return peers
}

// collect returns the present versions of records.
func (m *Machine) collect(records []recordID) Changes {
	var c Changes
	for _, r := range records {
		m.collectOne(&c, r)
	}
	return c
}

func (m *Machine) collectOne(c *Changes, r recordID) {
	switch r.kind {
	case kindTarget:
		if e := m.targets[r.subject]; e != nil && e.record.State != 0 {
			c.Targets = append(c.Targets, e.record.unpack(r.subject))
		}
	case kindBalancer:
		if e := m.balancers[r.subject]; e != nil {
			c.Balancers = append(c.Balancers, e.record)
		}
	case kindObservation:
		for _, o := range m.lookup(r.subject) {
			if o.observer == r.observer {
				c.Observations = append(c.Observations, o.export(r.subject))
			}
		}
	case kindZone:
		if z, ok := m.zones[zoneKey{r.observer, r.zone}]; ok {
			c.Zones = append(c.Zones, ZoneReport{
				Observer: r.observer.address(), Zone: r.zone, Sight: z.sight, Version: z.version,
			})
		}
	}
}

func (o observation) export(subject id) Observation {
	return Observation{
		Observer: o.observer.address(), Subject: subject.address(),
		Incarnation: o.incarnation, Sight: o.sight, Version: o.version,
	}
}

// lookup returns the observations of a subject without creating it.
func (m *Machine) lookup(subject id) []observation {
	if b := m.balancers[subject]; b != nil {
		return b.observers
	}
	if e := m.targets[subject]; e != nil {
		return e.observers
	}
	return nil
}
