package member

import "time"

// packedTarget is a Target in compact form. It lacks the agent's address, which is the key under which it is stored.
type packedTarget struct {
	control id
	// zone is the shared copy of the name that Machine.internZone returns.
	zone        string
	incarnation uint64
	sequence    uint64
	slots       int32
	service     uint16
	state       State
}

func pack(t Target) packedTarget {
	return packedTarget{
		control: idOf(t.Control), zone: t.Zone, incarnation: t.Incarnation, sequence: t.Sequence,
		slots: int32(t.Slots), service: t.Service, state: t.State,
	}
}

// unpack returns the target whose agent has the given id.
func (p packedTarget) unpack(subject id) Target {
	return Target{
		Agent: subject.address(), Control: p.control.address(), Service: p.service, Zone: p.zone, Slots: int(p.slots),
		Incarnation: p.incarnation, Sequence: p.sequence, State: p.state,
	}
}

// isSupersededBy reports whether t is newer than p, a record of the same agent.
func (p packedTarget) isSupersededBy(t Target) bool {
	return t.IsNewerThan(Target{Incarnation: p.incarnation, Sequence: p.sequence})
}

// instant is a time in nanoseconds since 1970, which takes less memory than time.Time. Zero means no time.
type instant int64

func instantOf(t time.Time) instant { return instant(t.UnixNano()) }

// elapsed returns the time from i to now.
func (i instant) elapsed(now time.Time) time.Duration {
	return time.Duration(instantOf(now) - i)
}
