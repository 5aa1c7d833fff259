package hop

import (
	"encoding/binary"
	"time"
)

// BalancerStatus is what a balancer says of itself in a ping.
type BalancerStatus struct {
	// Configuration is the configuration that the balancer holds.
	Configuration ConfigurationSource
	// Group is the group of balancers that meets at the agent, or zero when it meets elsewhere.
	Group uint32
	// IsWatching is set while the balancer follows the store, and the store answers.
	IsWatching bool
	// Revision is that of the store up to which the balancer has taken all changes.
	Revision uint64
}

const reportBytes = sightingBytes + 4 + 1 + 8

// Append appends the encoded report to raw.
func (r BalancerStatus) Append(raw []byte) []byte {
	raw = r.Configuration.Append(raw)
	raw = binary.BigEndian.AppendUint32(raw, r.Group)
	reading := byte(0)
	if r.IsWatching {
		reading = 1
	}
	raw = append(raw, reading)
	return binary.BigEndian.AppendUint64(raw, r.Revision)
}

// DecodeBalancerStatus reads what Append wrote.
func DecodeBalancerStatus(raw []byte) (BalancerStatus, error) {
	if len(raw) != reportBytes {
		return BalancerStatus{}, ErrMalformed
	}
	sighting, err := DecodeConfigurationSource(raw[:sightingBytes])
	rest := raw[sightingBytes:]
	return BalancerStatus{
		Configuration: sighting, Group: binary.BigEndian.Uint32(rest), IsWatching: rest[4] == 1,
		Revision: binary.BigEndian.Uint64(rest[5:]),
	}, err
}

// Reader is a balancer of a group that follows the store.
type Reader struct {
	Balancer IP
	// Age is the time since its last report, to the millisecond.
	Age      time.Duration
	Revision uint64
}

// MaxReaders bounds the readers in a bulletin.
const MaxReaders = 4

// GroupStatus is what an agent tells a balancer.
type GroupStatus struct {
	// Configuration is that of the highest version that the agent has heard of.
	Configuration ConfigurationSource
	// Uptime is the time since the agent started, to the second.
	Uptime time.Duration
	// Readers are balancers of the group, those with the highest revisions first.
	Readers []Reader
}

const (
	uptimeBytes = 2
	readerBytes = addressBytes + 2 + 8
)

// MaxGroupStatusFrame is the size of the largest frame with a bulletin.
const MaxGroupStatusFrame = fixedBytes + sightingBytes + uptimeBytes + MaxReaders*readerBytes

// maxAge and maxUptime are the largest times that a bulletin can tell.
const (
	maxAge    = time.Duration(1<<16-1) * time.Millisecond
	maxUptime = time.Duration(1<<16-1) * time.Second
)

// Append appends the encoded bulletin to raw.
func (b GroupStatus) Append(raw []byte) []byte {
	raw = b.Configuration.Append(raw)
	raw = binary.BigEndian.AppendUint16(raw, uint16(min(b.Uptime, maxUptime).Seconds()))
	for _, r := range b.Readers {
		raw = append(raw, r.Balancer[:]...)
		raw = binary.BigEndian.AppendUint16(raw, uint16(min(r.Age, maxAge).Milliseconds()))
		raw = binary.BigEndian.AppendUint64(raw, r.Revision)
	}
	return raw
}

// DecodeGroupStatus reads what Append wrote.
func DecodeGroupStatus(raw []byte) (GroupStatus, error) {
	rest := len(raw) - sightingBytes - uptimeBytes
	if rest < 0 || rest%readerBytes != 0 || rest/readerBytes > MaxReaders {
		return GroupStatus{}, ErrMalformed
	}
	sighting, err := DecodeConfigurationSource(raw[:sightingBytes])
	uptime := binary.BigEndian.Uint16(raw[sightingBytes:])
	b := GroupStatus{Configuration: sighting, Uptime: time.Duration(uptime) * time.Second}
	for list := raw[sightingBytes+uptimeBytes:]; len(list) > 0; list = list[readerBytes:] {
		b.Readers = append(b.Readers, Reader{
			Balancer: IP(list[:addressBytes]),
			Age:      time.Duration(binary.BigEndian.Uint16(list[addressBytes:])) * time.Millisecond,
			Revision: binary.BigEndian.Uint64(list[addressBytes+2:]),
		})
	}
	return b, err
}
