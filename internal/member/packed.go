package member

import "time"

// packedTarget is a Target in compact form. It lacks the agent's address, which is the key under which it is stored.
type packedTarget struct {
	control id
	// Zone is the shared copy of the name that Machine.internZone returns.
	Zone        string
	Incarnation uint64
	Sequence    uint64
	slots       int32
	service     uint16
	State       State
}

func pack(t Target) packedTarget {
	return packedTarget{
		control: idOf(t.Control), Zone: t.Zone, Incarnation: t.Incarnation, Sequence: t.Sequence,
		slots: int32(t.Slots), service: t.Service, State: t.State,
	}
}

// unpack returns the target whose agent has the given id.
func (p packedTarget) unpack(subject id) Target {
	return Target{
		Agent: subject.address(), Control: p.control.address(), Service: p.service, Zone: p.Zone, Slots: int(p.slots),
		Incarnation: p.Incarnation, Sequence: p.Sequence, State: p.State,
	}
}

// isSupersededBy reports whether t is newer than p, a record of the same agent.
func (p packedTarget) isSupersededBy(t Target) bool {
	return t.IsNewerThan(Target{Incarnation: p.Incarnation, Sequence: p.Sequence})
}

// instant is a time in nanoseconds since 1970, which takes less memory than time.Time. Zero means no time.
type instant int64

func instantOf(t time.Time) instant { return instant(t.UnixNano()) }

// elapsed returns the time from i to now.
func (i instant) elapsed(now time.Time) time.Duration {
	return time.Duration(instantOf(now) - i)
}
