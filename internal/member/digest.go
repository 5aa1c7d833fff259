package member

import "time"

// Sizes of the two-level digest.
const (
	bucketBits   = 12
	groupBits    = 6
	bucketCount  = 1 << bucketBits
	groupCount   = 1 << groupBits
	groupBuckets = bucketCount / groupCount
)

// digest holds, for each bucket of subjects, the exclusive or of the hashes of its records. Two balancers with the same
// records have the same digest, in whatever order the records arrived. Records of subjects that have gone do not count.
type digest struct {
	buckets [bucketCount]uint64
	groups  [groupCount]uint64
}

func bucketOf(subject id) uint16 {
	return uint16(hash(uint64(subject)) >> (64 - bucketBits))
}

// toggle adds a record's hash, or removes it again.
func (d *digest) toggle(subject id, h uint64) {
	bucket := bucketOf(subject)
	d.buckets[bucket] ^= h
	d.groups[bucket/groupBuckets] ^= h
}

func (d *digest) group(g uint16) []uint64 {
	return d.buckets[int(g)*groupBuckets : (int(g)+1)*groupBuckets]
}

// sendDigest starts an exchange with one connected balancer, chosen at random.
func (m *Machine) sendDigest(now time.Time) {
	peers := m.connected()
	if len(peers) == 0 {
		return
	}
	m.sendDigestTo(now, peers[m.random.IntN(len(peers))])
}

func (m *Machine) sendDigestTo(now time.Time, peer id) {
	m.lastDigest = now
	groups := m.digest.groups
	m.act(Send{To: peer.address(), Gossip: Gossip{Digest: groups[:]}})
}

// exchange answers the steps of anti-entropy: digest, groups that differ, buckets that differ, records.
func (m *Machine) exchange(from id, g Gossip) {
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
	if len(g.Wanted) > 0 {
		m.queueBuckets(box, g.Wanted)
	}
}

func (m *Machine) answerDigest(from id, theirs []uint64) {
	var differing []GroupDigest
	for g := range uint16(groupCount) {
		if theirs[g] != m.digest.groups[g] {
			buckets := append([]uint64(nil), m.digest.group(g)...)
			differing = append(differing, GroupDigest{Group: g, Buckets: buckets})
		}
	}
	if len(differing) > 0 {
		m.act(Send{To: from.address(), Gossip: Gossip{Groups: differing}})
	}
}

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
	m.act(Send{To: from.address(), Gossip: Gossip{Wanted: wanted}})
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
			box.add(recordID{kind: kindBalancer, subject: subject})
			addObservations(box, subject, e.observers)
		}
	}
	for subject, e := range m.targets {
		if isWanted[bucketOf(subject)] {
			box.add(recordID{kind: kindTarget, subject: subject})
			addObservations(box, subject, e.observers)
		}
	}
	for key := range m.zones {
		if isWanted[bucketOf(key.observer)] {
			box.add(recordID{kind: kindZone, observer: key.observer, zone: key.zone})
		}
	}
}

func addObservations(box *outbox, subject id, observers []observation) {
	for _, o := range observers {
		box.add(recordID{kind: kindObservation, subject: subject, observer: o.observer})
	}
}
