package directory

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/rendezvous"
)

const (
	// targetsPerGroup is the number of targets in an availability zone for which its balancers form one group. It bounds the
	// number of balancers that exchange their status through one hub, since fleets have several targets for each balancer.
	targetsPerGroup = 64
	// minTargetsOfOwnGroup is the number of targets from which the balancers of an availability zone form groups of their own.
	minTargetsOfOwnGroup = targetsPerGroup / 2
	// commonGroup is the name of the group that the balancers of all zones with fewer targets form.
	commonGroup = "common"
)

// Group returns the identifier of the balancer's group. The balancers of all small availability zones form one group, those of
// a larger zone form one of their own, and those of a large zone form several. Balancers need no agreement on the groups, since
// these follow from the targets in the store.
func (d *Directory) Group() uint32 { return d.group }

// IsHub reports whether an agent is a hub of the balancer's group: one through which its balancers exchange their status.
func (d *Directory) IsHub(agent hop.IP) bool {
	t := d.targets[agent]
	return t != nil && t.pingState.isHub
}

// PingHubs makes the next pings of the group's hubs due at once, so that a change of the balancer's status reaches them without
// delay.
func (d *Directory) PingHubs(now time.Time) {
	for _, t := range d.targets {
		if t.pingState.isHub {
			t.pingState.nextPingAt, t.pingState.isAwaitingPong = now, false
		}
	}
}

// chooseHubs determines the balancer's group and chooses the group's hubs among the reachable agents. Balancers of a group
// that know the same targets choose the same hubs. Agents in the group's availability zone come first.
func (d *Directory) chooseHubs() {
	local := 0
	for _, t := range d.targets {
		if t.Entry.Zone == d.zone {
			local++
		}
	}
	name := commonGroup
	if local >= minTargetsOfOwnGroup {
		groups := uint64(local/targetsPerGroup + 1)
		name = d.zone + "/" + strconv.FormatUint(d.seed%groups, 10)
	}
	hash := xxhash.Sum64String(name)
	// Setting the lowest bit avoids zero, which means no group.
	d.group = uint32(hash) | 1
	var buffer [hubCount]rankedCandidate
	order := buffer[:0]
	for _, t := range d.targets {
		t.pingState.isHub = false
		if t.State != Reachable {
			continue
		}
		c := rankedCandidate{agent: t.Agent, score: rendezvous.Score(hash, t.seed, 1)}
		if name != commonGroup && t.Entry.Zone != d.zone {
			c.tier = 1
		}
		order = insertRanked(order, hubCount, c)
	}
	for _, c := range order {
		d.targets[c.agent].pingState.isHub = true
	}
}
