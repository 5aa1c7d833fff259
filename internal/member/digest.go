package member

import "time"

// Sizes of the two-level digest: subjects are hashed to buckets, and consecutive buckets form a group.
const (
	bucketBits   = 12
	groupBits    = 6
	bucketCount  = 1 << bucketBits
	groupCount   = 1 << groupBits
	groupBuckets = bucketCount / groupCount
)

// digest holds the exclusive or of the hashes of all records, for each bucket and each group. Two balancers with the same
// records have the same digest, whatever the order in which the records arrived. Records with the state Gone are left
// out, because a balancer that doesn't know such a record doesn't store it.
type digest struct {
	buckets [bucketCount]uint64
	groups  [groupCount]uint64
}

// bucketOf returns the bucket of a subject's records.
func bucketOf(subject id) uint16 {
	return uint16(hash(uint64(subject)) >> (64 - bucketBits))
}

// toggle adds the hash of a record to the digest, or removes one that was added before.
func (d *digest) toggle(subject id, h uint64) {
	bucket := bucketOf(subject)
	d.buckets[bucket] ^= h
	d.groups[bucket/groupBuckets] ^= h
}

// group returns the bucket hashes of a group.
func (d *digest) group(g uint16) []uint64 {
	return d.buckets[int(g)*groupBuckets : (int(g)+1)*groupBuckets]
}

// sendDigest starts an anti-entropy exchange with a random connected balancer.
func (m *Machine) sendDigest(now time.Time) {
	peers := m.connectedPeers()
	if len(peers) == 0 {
		return
	}
	m.sendDigestTo(now, peers[m.random.IntN(len(peers))])
}

func (m *Machine) sendDigestTo(now time.Time, peer id) {
	m.lastDigest = now
	groups := m.digest.groups
	m.emit(Send{To: peer.address(), Gossip: Gossip{Digest: groups[:]}})
}

// handleAntiEntropy handles the parts of a message that belong to an anti-entropy exchange. Its steps are: the digest; the
// bucket hashes of the groups that differ; the numbers of the buckets that differ, with the sender's records in them; and the
// other side's records in these buckets.
func (m *Machine) handleAntiEntropy(from id, g Gossip) {
	box := m.outboxes[from]
	if box == nil {
		return
	}
	if len(g.Digest) == groupCount {
		m.answerDigest(from, g.Digest)
	}
	if len(g.Groups) > 0 {
		m.answerGroups(from, box, g.Groups)
	}
	if len(g.WantedBuckets) > 0 {
		m.queueBuckets(box, g.WantedBuckets)
	}
}

// answerDigest sends the bucket hashes of the groups that differ from the peer's digest.
func (m *Machine) answerDigest(from id, theirs []uint64) {
	var differing []GroupDigest
	for g := range uint16(groupCount) {
		if theirs[g] != m.digest.groups[g] {
			buckets := append([]uint64(nil), m.digest.group(g)...)
			differing = append(differing, GroupDigest{Group: g, Buckets: buckets})
		}
	}
	if len(differing) > 0 {
		m.emit(Send{To: from.address(), Gossip: Gossip{Groups: differing}})
	}
}

// answerGroups queues the records of the buckets that differ from the peer's and asks the peer for its own.
func (m *Machine) answerGroups(from id, box *outbox, groups []GroupDigest) {
	var wanted []uint16
	for _, g := range groups {
		if g.Group >= groupCount || len(g.Buckets) != groupBuckets {
			continue
		}
		for i, own := range m.digest.group(g.Group) {
			if own != g.Buckets[i] {
				wanted = append(wanted, g.Group*groupBuckets+uint16(i))
			}
		}
	}
	if len(wanted) == 0 {
		return
	}
	m.queueBuckets(box, wanted)
	m.emit(Send{To: from.address(), Gossip: Gossip{WantedBuckets: wanted}})
}

// queueBuckets queues every record of the given buckets for a peer.
func (m *Machine) queueBuckets(box *outbox, buckets []uint16) {
	var isWanted [bucketCount]bool
	for _, b := range buckets {
		if b < bucketCount {
			isWanted[b] = true
		}
	}
	for subject, e := range m.balancers {
		if isWanted[bucketOf(subject)] {
			box.enqueue(recordID{kind: kindBalancer, subject: subject})
			queueObservations(box, subject, e.observations)
		}
	}
	for subject, e := range m.targets {
		if isWanted[bucketOf(subject)] {
			box.enqueue(recordID{kind: kindTarget, subject: subject})
			queueObservations(box, subject, e.observations)
		}
	}
	for key := range m.zoneReports {
		if isWanted[bucketOf(key.observer)] {
			box.enqueue(recordID{kind: kindZone, observer: key.observer, zone: key.zone})
		}
	}
}

func queueObservations(box *outbox, subject id, observations []observation) {
	for _, o := range observations {
		box.enqueue(recordID{kind: kindObservation, subject: subject, observer: o.observer})
	}
}
