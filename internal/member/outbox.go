package member

import (
	"slices"
	"time"
)

// maxBatchRecords is the maximum number of records in a message. The others wait for the next tick.
const maxBatchRecords = 2000

// recordKind is the type of a record. It is part of the record's hash in the digest.
type recordKind uint8

const (
	kindTarget recordKind = iota + 1
	kindBalancer
	kindObservation
	kindZone
)

// recordID identifies a record independent of its version. Only the fields that its kind needs are set.
type recordID struct {
	kind     recordKind
	subject  id
	observer id
	zone     string
}

// outbox holds the records to send to a connected balancer. The newest version of each record is read when it is sent.
type outbox struct {
	// queue holds the records in order. One that is no longer in pending is skipped.
	queue   []recordID
	pending map[recordID]struct{}
	// sentAt is when flush last sent a message.
	sentAt time.Time
}

// enqueue appends a record unless it is already pending.
func (o *outbox) enqueue(r recordID) {
	if _, ok := o.pending[r]; ok {
		return
	}
	o.pending[r] = struct{}{}
	o.queue = append(o.queue, r)
}

// dequeue removes and returns the first n pending records, or all when they are fewer.
func (o *outbox) dequeue(n int) []recordID {
	var dequeued []recordID
	i := 0
	for ; i < len(o.queue) && len(dequeued) < n; i++ {
		if _, ok := o.pending[o.queue[i]]; ok {
			delete(o.pending, o.queue[i])
			dequeued = append(dequeued, o.queue[i])
		}
	}
	o.queue = slices.Clone(o.queue[i:])
	return dequeued
}

// disseminate queues a record for all connected balancers except the one that sent it.
func (m *Machine) disseminate(r recordID, from id) {
	for peer, box := range m.outboxes {
		if peer != from {
			box.enqueue(r)
		}
	}
}

// handleKnownRecord handles a record from a peer that isn't newer than the known one. If it is the same, it needn't be sent to
// the peer any more; if it is older, the known one is queued for the peer.
func (m *Machine) handleKnownRecord(r recordID, from id, isSame bool) {
	box := m.outboxes[from]
	if box == nil {
		return
	}
	if isSame {
		delete(box.pending, r)
		return
	}
	box.enqueue(r)
}

// flush sends the pending records to each connected balancer. It sends an empty message as a heartbeat when nothing has been
// sent for HeartbeatInterval.
func (m *Machine) flush(now time.Time) {
	for _, peer := range m.connectedPeers() {
		box := m.outboxes[peer]
		records := box.dequeue(maxBatchRecords)
		if len(records) == 0 && now.Sub(box.sentAt) < HeartbeatInterval {
			continue
		}
		box.sentAt = now
		m.emit(Send{To: peer.address(), Gossip: Gossip{Changes: m.collectRecords(records)}})
	}
}

// connectedPeers returns the connected balancers ordered by id.
func (m *Machine) connectedPeers() []id {
	peers := make([]id, 0, len(m.outboxes))
	for peer := range m.outboxes {
		peers = append(peers, peer)
	}
	slices.Sort(peers)
	return peers
}

// collectRecords returns the current versions of the given records. It skips those that have been removed.
func (m *Machine) collectRecords(records []recordID) Changes {
	var c Changes
	for _, r := range records {
		m.appendRecord(&c, r)
	}
	return c
}

// appendRecord appends the current version of a record to c, if it still exists.
func (m *Machine) appendRecord(c *Changes, r recordID) {
	switch r.kind {
	case kindTarget:
		if e := m.targets[r.subject]; e != nil && e.record.state != 0 {
			c.Targets = append(c.Targets, e.record.unpack(r.subject))
		}
	case kindBalancer:
		if e := m.balancers[r.subject]; e != nil {
			c.Balancers = append(c.Balancers, e.record)
		}
	case kindObservation:
		for _, o := range m.knownObservations(r.subject) {
			if o.observer == r.observer {
				c.Observations = append(c.Observations, o.export(r.subject))
			}
		}
	case kindZone:
		if z, ok := m.zoneReports[zoneKey{r.observer, r.zone}]; ok {
			c.ZoneReports = append(c.ZoneReports, ZoneReport{
				Observer: r.observer.address(), Zone: r.zone, Liveness: z.liveness, Version: z.version,
			})
		}
	}
}

// export returns the observation of a subject in the form that messages carry.
func (o observation) export(subject id) Observation {
	return Observation{
		Observer: o.observer.address(), Subject: subject.address(),
		Incarnation: o.incarnation, Liveness: o.liveness, Version: o.version,
	}
}

// knownObservations returns the observations of a subject. Unlike observationsOf, it creates no entry.
func (m *Machine) knownObservations(subject id) []observation {
	if b := m.balancers[subject]; b != nil {
		return b.observations
	}
	if e := m.targets[subject]; e != nil {
		return e.observations
	}
	return nil
}
