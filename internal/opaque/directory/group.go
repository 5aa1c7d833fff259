package directory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/rendezvous"
)

const (
	// targetsPerGroup is the number of targets of an availability zone for each group of its balancers. It bounds the
	// balancers that meet at an agent: fleets have several targets for each balancer.
	targetsPerGroup = 64
	// zoneTargets is the number of targets from which an availability zone has a group of its own.
	zoneTargets = targetsPerGroup / 2
	// commonGroup is the group of all balancers whose zones are smaller.
	commonGroup = "common"
)

// Group returns the group of the balancer: those of small availability zones together, those of a larger one, or a part of
// those of a large one. All know it by what the store holds.
func (d *Directory) Group() uint32 { return d.group }

// IsHub reports whether the group meets at an agent.
func (d *Directory) IsHub(agent hop.IP) bool {
	t := d.targets[agent]
	return t != nil && t.reach.isMeetingPoint
}

// PingHubs lets the next pings of the agents at which the group meets go at once.
func (d *Directory) PingHubs(now time.Time) {
	for _, t := range d.targets {
		if t.reach.isMeetingPoint {
			t.reach.nextPing, t.reach.isAsked = now, false
		}
	}
}

// chooseMeetingPoints chooses the agents at which the group meets: for the same targets the same ones, those in the
// balancers' availability zone first.
func (d *Directory) chooseMeetingPoints() {
	local := 0
	for _, t := range d.targets {
		if t.Entry.Zone == d.zone {
			local++
		}
	}
	name := commonGroup
	if local >= zoneTargets {
		groups := uint64(local/targetsPerGroup + 1)
		name = d.zone + "/" + strconv.FormatUint(d.seed%groups, 10)
	}
	hash := xxhash.Sum64String(name)
	// Zero stands for no group.
	d.group = uint32(hash) | 1
	var buffer [meetingPoints]scored
	order := buffer[:0]
	for _, t := range d.targets {
		t.reach.isMeetingPoint = false
		if t.State != Reachable {
			continue
		}
		c := scored{agent: t.Agent, score: rendezvous.Score(hash, t.seed, 1)}
		if name != commonGroup && t.Entry.Zone != d.zone {
			c.tier = 1
		}
		order = insert(order, meetingPoints, c)
	}
	for _, c := range order {
		d.targets[c.agent].reach.isMeetingPoint = true
	}
}
