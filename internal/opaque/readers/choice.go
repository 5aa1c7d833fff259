package readers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/hop"
)

const (
	// wanted is the number of readers of a group: one may go without a word and the other one tells of changes.
	wanted = 2
	// freshFor is the age of a report up to which a reader counts. Balancers report to the agents of their group every
	// half second.
	freshFor = 1300 * time.Millisecond
	// restAfter is the time for which there have been enough better readers before a reader stops.
	restAfter = time.Second
	// Before a balancer begins to read it waits for a random part of these times, which tell how urgent it is: nobody tells
	// of changes, or one balancer does.
	spreadAlone  = 400 * time.Millisecond
	spreadBeside = 2 * time.Second
)

// Selector decides whether a balancer follows the store itself.
type Selector struct {
	self hop.IP
	rank uint64
	// part is the balancer's part of the spreads, from 0 up to 1.
	part float64
	// told is what each agent has told last.
	told map[hop.IP]bulletin
	// isReading is the choice. A balancer that starts reads, since it has heard of nobody.
	isReading bool
	// changeSince is when the reason to change the choice began, or zero.
	changeSince time.Time
}

// bulletin is what an agent has told of the readers of the group.
type bulletin struct {
	at      time.Time
	readers []hop.Reader
}

// NewSelector returns the choice of the balancer at the address self.
func NewSelector(self hop.IP) *Selector {
	const parts = 1 << 10
	rank := rankOf(self)
	return &Selector{
		self: self, rank: rank, part: float64(rank%parts) / parts, told: make(map[hop.IP]bulletin), isReading: true,
	}
}

// rankOf returns the place of a balancer in the order of those that read first.
func rankOf(ip hop.IP) uint64 { return xxhash.Sum64(ip[:]) }

// IsReader reports whether the balancer follows the store.
func (c *Selector) IsReader() bool { return c.isReading }

// HandleGroupStatus notes the bulletin of an agent at which the group meets.
func (c *Selector) HandleGroupStatus(now time.Time, agent hop.IP, readers []hop.Reader) {
	c.told[agent] = bulletin{at: now, readers: readers}
}

// Tick makes the choice anew and reports whether it has changed.
func (c *Selector) Tick(now time.Time) bool {
	others, better := c.count(now)
	var wait time.Duration
	switch {
	case c.isReading && better >= wanted:
		wait = restAfter
	case !c.isReading && others == 0:
		wait = time.Duration(c.part * float64(spreadAlone))
	case !c.isReading && others < wanted:
		wait = time.Duration(c.part * float64(spreadBeside))
	default:
		c.changeSince = time.Time{}
		return false
	}
	if c.changeSince.IsZero() {
		c.changeSince = now
	}
	if now.Sub(c.changeSince) < wait {
		return false
	}
	c.isReading, c.changeSince = !c.isReading, time.Time{}
	return true
}

// count returns the number of other readers, and of those with a lower rank.
func (c *Selector) count(now time.Time) (others, better int) {
	counted := make([]hop.IP, 0, wanted+1)
	for agent, b := range c.told {
		if now.Sub(b.at) > freshFor {
			delete(c.told, agent)
			continue
		}
		for _, r := range b.readers {
			if r.Balancer == c.self || now.Sub(b.at)+r.Age > freshFor || slices.Contains(counted, r.Balancer) {
				continue
			}
			counted = append(counted, r.Balancer)
			others++
			if rankOf(r.Balancer) < c.rank {
				better++
			}
		}
	}
	return others, better
}

// PreferredReader returns the reader with the lowest rank, at which all balancers of a group ask. It reports false when there is none,
// or when it is this balancer, which isServed tells to be a reader as well.
func (c *Selector) PreferredReader(now time.Time, isServed bool) (hop.IP, bool) {
	var best hop.IP
	lowest, isFound := c.rank, false
	for _, b := range c.told {
		for _, r := range b.readers {
			rank := rankOf(r.Balancer)
			if r.Balancer == c.self || now.Sub(b.at)+r.Age > freshFor || (isFound || isServed) && rank >= lowest {
				continue
			}
			best, lowest, isFound = r.Balancer, rank, true
		}
	}
	return best, isFound
}

// ReaderAhead returns the reader with the highest revision above the given one.
func (c *Selector) ReaderAhead(revision uint64) (hop.IP, bool) {
	var best hop.IP
	isAhead := false
	for _, b := range c.told {
		for _, r := range b.readers {
			if r.Revision > revision {
				best, revision, isAhead = r.Balancer, r.Revision, true
			}
		}
	}
	return best, isAhead
}
