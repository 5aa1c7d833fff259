package hop

import (
	"encoding/binary"
	"time"
)

// BalancerStatus is the body of a Ping: the state of the balancer that sends it.
type BalancerStatus struct {
	// Configuration is the version of the configuration that the balancer holds, or zero if it has none, with the balancer
	// itself as holder.
	Configuration ConfigurationSource
	// Group is the identifier of the balancer's group, or zero when the agent is not a hub of the group. A hub is an agent
	// through which the balancers of a group exchange their status.
	Group uint32
	// IsWatching is set while the balancer watches the store and the store answers.
	IsWatching bool
	// Revision is the store.Version up to which the balancer has applied all changes.
	Revision uint64
	// Evacuation is the store.Version of the last change of the evacuation of the target's availability zone, or zero if there was
	// none. IsEvacuated is set while the zone is evacuated.
	Evacuation  uint64
	IsEvacuated bool
	// ColdRate is the number of opening packets a second that a cold target of the target's service bears, or zero if there is no
	// limit.
	ColdRate uint16
}

const balancerStatusBytes = configurationSourceBytes + 4 + 1 + 8 + 8 + 2

// Flags of a BalancerStatus.
const (
	watchingBit  = 1
	evacuatedBit = 2
)

// Append appends the encoded status to raw.
func (s BalancerStatus) Append(raw []byte) []byte {
	raw = s.Configuration.Append(raw)
	raw = binary.BigEndian.AppendUint32(raw, s.Group)
	flags := byte(0)
	if s.IsWatching {
		flags |= watchingBit
	}
	if s.IsEvacuated {
		flags |= evacuatedBit
	}
	raw = append(raw, flags)
	raw = binary.BigEndian.AppendUint64(raw, s.Revision)
	raw = binary.BigEndian.AppendUint64(raw, s.Evacuation)
	return binary.BigEndian.AppendUint16(raw, s.ColdRate)
}

// DecodeBalancerStatus decodes a status that BalancerStatus.Append has encoded.
func DecodeBalancerStatus(raw []byte) (BalancerStatus, error) {
	if len(raw) != balancerStatusBytes {
		return BalancerStatus{}, ErrMalformed
	}
	configuration, err := DecodeConfigurationSource(raw[:configurationSourceBytes])
	rest := raw[configurationSourceBytes:]
	return BalancerStatus{
		Configuration: configuration, Group: binary.BigEndian.Uint32(rest),
		IsWatching: rest[4]&watchingBit != 0, IsEvacuated: rest[4]&evacuatedBit != 0,
		Revision: binary.BigEndian.Uint64(rest[5:]), Evacuation: binary.BigEndian.Uint64(rest[13:]),
		ColdRate: binary.BigEndian.Uint16(rest[21:]),
	}, err
}

// Reader is a balancer that watches the store for its group.
type Reader struct {
	Balancer IP
	// Age is the time since the agent received the reader's last BalancerStatus, to the millisecond.
	Age time.Duration
	// Revision is the revision in that status.
	Revision uint64
}

// MaxReaders bounds the readers in a GroupStatus.
const MaxReaders = 4

// GroupStatus is the body of a Pong and of a GroupStatusNotice: what an agent knows of the group of the balancer that
// receives it.
type GroupStatus struct {
	// Configuration is the highest version of the configuration that any balancer has reported to the agent, and that balancer.
	Configuration ConfigurationSource
	// Uptime is the time since the agent started, to the second.
	Uptime time.Duration
	// Readers are at most MaxReaders readers of the group, those with the highest revisions first.
	Readers []Reader
}

const (
	uptimeBytes = 2
	readerBytes = addressBytes + 2 + 8
)

// MaxGroupStatusFrame is the size in bytes of the largest frame that carries a GroupStatus.
const MaxGroupStatusFrame = fixedTrailerBytes + configurationSourceBytes + uptimeBytes + MaxReaders*readerBytes

// maxAge and maxUptime are the longest durations that the encoding of a GroupStatus can represent.
const (
	maxAge    = time.Duration(1<<16-1) * time.Millisecond
	maxUptime = time.Duration(1<<16-1) * time.Second
)

// Append appends the encoded status to raw. Longer durations than the encoding allows are cut to its limits.
func (s GroupStatus) Append(raw []byte) []byte {
	raw = s.Configuration.Append(raw)
	raw = binary.BigEndian.AppendUint16(raw, uint16(min(s.Uptime, maxUptime).Seconds()))
	for _, r := range s.Readers {
		raw = append(raw, r.Balancer[:]...)
		raw = binary.BigEndian.AppendUint16(raw, uint16(min(r.Age, maxAge).Milliseconds()))
		raw = binary.BigEndian.AppendUint64(raw, r.Revision)
	}
	return raw
}

// DecodeGroupStatus decodes a status that GroupStatus.Append has encoded.
func DecodeGroupStatus(raw []byte) (GroupStatus, error) {
	readerListBytes := len(raw) - configurationSourceBytes - uptimeBytes
	if readerListBytes < 0 || readerListBytes%readerBytes != 0 || readerListBytes/readerBytes > MaxReaders {
		return GroupStatus{}, ErrMalformed
	}
	configuration, err := DecodeConfigurationSource(raw[:configurationSourceBytes])
	uptime := binary.BigEndian.Uint16(raw[configurationSourceBytes:])
	s := GroupStatus{Configuration: configuration, Uptime: time.Duration(uptime) * time.Second}
	for readers := raw[configurationSourceBytes+uptimeBytes:]; len(readers) > 0; readers = readers[readerBytes:] {
		s.Readers = append(s.Readers, Reader{
			Balancer: IP(readers[:addressBytes]),
			Age:      time.Duration(binary.BigEndian.Uint16(readers[addressBytes:])) * time.Millisecond,
			Revision: binary.BigEndian.Uint64(readers[addressBytes+2:]),
		})
	}
	return s, err
}
