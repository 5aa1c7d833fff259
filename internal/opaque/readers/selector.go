package readers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/hop"
)

const (
	// readersPerGroup is the wanted number of readers of a group. With two, changes still reach the group when one fails
	// silently.
	readersPerGroup = 2
	// maxStatusAge is the age of a report up to which its balancer counts as a reader. Balancers report to the hubs of their
	// group every half second, so a single lost report does not matter.
	maxStatusAge = 1300 * time.Millisecond
	// stopDelay is the time for which enough readers of lower rank must have been reporting before a reader stops.
	stopDelay = time.Second
	// Before a balancer becomes a reader it waits for a fraction of one of these delays, which depends on the number of other
	// readers. The fraction differs between balancers, so that few of them start together. A group without any reader learns of
	// no changes, so its delay is shorter.
	maxStartDelayWithoutReader = 400 * time.Millisecond
	maxStartDelayWithOneReader = 2 * time.Second
)

// Selector decides whether a balancer is a reader: one that watches the store itself.
type Selector struct {
	self hop.IP
	// rank orders the balancers of a group: readers with a low rank are preferred.
	rank uint64
	// delayFraction is the fraction of the start delays that this balancer waits, in [0, 1). It is derived from the rank.
	delayFraction float64
	// hubStatuses holds the last status that each hub has sent, by the address of the hub.
	hubStatuses map[hop.IP]hubStatus
	// isReader is the current decision. A balancer starts as a reader, since it has not heard of any other.
	isReader bool
	// changeDueSince is when the condition for changing the decision was first met, or zero.
	changeDueSince time.Time
}

// hubStatus is the list of the group's readers that a hub has sent.
type hubStatus struct {
	receivedAt time.Time
	readers    []hop.Reader
}

// NewSelector returns the selector of the balancer at the address self.
func NewSelector(self hop.IP) *Selector {
	const steps = 1 << 10
	rank := rankOf(self)
	return &Selector{
		self: self, rank: rank, delayFraction: float64(rank%steps) / steps,
		hubStatuses: make(map[hop.IP]hubStatus), isReader: true,
	}
}

// rankOf returns the rank of a balancer, a hash of its address.
func rankOf(ip hop.IP) uint64 { return xxhash.Sum64(ip[:]) }

// IsReader reports whether the balancer has to watch the store.
func (s *Selector) IsReader() bool { return s.isReader }

// HandleGroupStatus records the group's readers as a hub has sent them.
func (s *Selector) HandleGroupStatus(now time.Time, hub hop.IP, readers []hop.Reader) {
	s.hubStatuses[hub] = hubStatus{receivedAt: now, readers: readers}
}

// Tick updates the decision and reports whether it has changed.
func (s *Selector) Tick(now time.Time) bool {
	others, lowerRanked := s.countOtherReaders(now)
	var wait time.Duration
	switch {
	case s.isReader && lowerRanked >= readersPerGroup:
		wait = stopDelay
	case !s.isReader && others == 0:
		wait = time.Duration(s.delayFraction * float64(maxStartDelayWithoutReader))
	case !s.isReader && others < readersPerGroup:
		wait = time.Duration(s.delayFraction * float64(maxStartDelayWithOneReader))
	default:
		s.changeDueSince = time.Time{}
		return false
	}
	if s.changeDueSince.IsZero() {
		s.changeDueSince = now
	}
	if now.Sub(s.changeDueSince) < wait {
		return false
	}
	s.isReader, s.changeDueSince = !s.isReader, time.Time{}
	return true
}

// countOtherReaders returns the number of other readers, and of those among them with a lower rank than this balancer. It drops
// statuses that are too old.
func (s *Selector) countOtherReaders(now time.Time) (others, lowerRanked int) {
	counted := make([]hop.IP, 0, readersPerGroup+1)
	for hub, status := range s.hubStatuses {
		if now.Sub(status.receivedAt) > maxStatusAge {
			delete(s.hubStatuses, hub)
			continue
		}
		for _, r := range status.readers {
			if r.Balancer == s.self || now.Sub(status.receivedAt)+r.Age > maxStatusAge || slices.Contains(counted, r.Balancer) {
				continue
			}
			counted = append(counted, r.Balancer)
			others++
			if rankOf(r.Balancer) < s.rank {
				lowerRanked++
			}
		}
	}
	return others, lowerRanked
}

// PreferredReader returns the reader with the lowest rank, which answers the revision requests of the whole group. This
// balancer itself counts as a reader if isWatching is set. The method reports false when there is no reader, or when this
// balancer is the preferred one.
func (s *Selector) PreferredReader(now time.Time, isWatching bool) (hop.IP, bool) {
	var best hop.IP
	lowest, isFound := s.rank, false
	for _, status := range s.hubStatuses {
		for _, r := range status.readers {
			rank := rankOf(r.Balancer)
			if r.Balancer == s.self || now.Sub(status.receivedAt)+r.Age > maxStatusAge ||
				(isFound || isWatching) && rank >= lowest {
				continue
			}
			best, lowest, isFound = r.Balancer, rank, true
		}
	}
	return best, isFound
}

// ReaderAhead returns the reader with the highest revision, if that is above the given one.
func (s *Selector) ReaderAhead(revision uint64) (hop.IP, bool) {
	var best hop.IP
	isAhead := false
	for _, status := range s.hubStatuses {
		for _, r := range status.readers {
			if r.Revision > revision {
				best, revision, isAhead = r.Balancer, r.Revision, true
			}
		}
	}
	return best, isAhead
}
