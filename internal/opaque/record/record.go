// Package record keeps, in the platform's store, which persistent flows the target of an agent holds. After a power loss the agent
// that starts next reads the record and resets these flows, so that their callers do not lose a request on each. The package contains
// the encoding of a record and the state machine that decides when it is written and what its flows are reset for; it makes no calls.
package record

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
)

const (
	// MaxFlows bounds the flows of a record.
	MaxFlows = 512
	// MaxSize bounds the size of an encoded record. It is above that of a record of MaxFlows flows.
	MaxSize = 16 << 10
	// encodingVersion changes with the layout. A record of another version is refused.
	encodingVersion = 1

	// maxInstanceBytes bounds the name of the instance.
	maxInstanceBytes = math.MaxUint8

	flowIDSize   = 12
	rowSize      = flowIDSize + 4
	fixedSize    = 1 + 4 + 8 + 8 + 8 + 8 + 2 + 1
	checksumSize = 8
)

// Flow is a flow of a record.
type Flow struct {
	ID flow.ID
	// Acknowledged is the sequence number that the caller last acknowledged.
	Acknowledged uint32
}

// Record is what the store holds of the persistent flows of a target. All of its flows were accepted by the incarnation, or by one
// before it.
type Record struct {
	// Agent is the address of the agent that wrote the record, and Service the service of its target.
	Agent       hop.IP
	Service     desired.ServiceKey
	Incarnation resident.Incarnation
	// LatestStarted is the latest start of any incarnation that the agent knows of. It is above the incarnation's own start if the
	// clock of the VM was set back.
	LatestStarted int64
	// WrittenAt has a resolution of a millisecond.
	WrittenAt time.Time
	Flows     []Flow
}

// Key returns the key of the record of the agent at ip.
func Key(ip hop.IP) string { return registry.FlowsPrefix + netip.AddrFrom4(ip).String() }

// Encode returns the value that is written to the store.
func (r *Record) Encode() ([]byte, error) {
	if len(r.Flows) > MaxFlows || len(r.Incarnation.Instance) > maxInstanceBytes {
		return nil, eris.Errorf("encode record of flows: %d flows, instance of %d bytes", len(r.Flows), len(r.Incarnation.Instance))
	}
	raw := make([]byte, 0, fixedSize+len(r.Incarnation.Instance)+len(r.Flows)*rowSize+checksumSize)
	raw = append(raw, encodingVersion)
	raw = append(raw, r.Agent[:]...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(r.Service))
	for _, at := range []int64{r.Incarnation.Started, r.LatestStarted, r.WrittenAt.UnixMilli()} {
		raw = binary.BigEndian.AppendUint64(raw, uint64(at))
	}
	raw = binary.BigEndian.AppendUint16(raw, uint16(len(r.Flows)))
	raw = append(raw, uint8(len(r.Incarnation.Instance)))
	raw = append(raw, r.Incarnation.Instance...)
	for _, f := range r.Flows {
		raw = binary.BigEndian.AppendUint32(f.ID.AppendTo(raw), f.Acknowledged)
	}
	return binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw)), nil
}

// Decode parses a record. Anything but the unchanged result of Encode is an error.
func Decode(raw []byte) (Record, error) {
	if len(raw) < fixedSize+checksumSize || len(raw) > MaxSize {
		return Record{}, eris.Errorf("decode record of flows: %d bytes", len(raw))
	}
	body, checksum := raw[:len(raw)-checksumSize], raw[len(raw)-checksumSize:]
	if binary.BigEndian.Uint64(checksum) != xxhash.Sum64(body) {
		return Record{}, eris.New("decode record of flows: wrong checksum")
	}
	if body[0] != encodingVersion {
		return Record{}, eris.Errorf("decode record of flows: encoding %d is not supported", body[0])
	}
	next := func(size int) []byte {
		field := body[:size]
		body = body[size:]
		return field
	}
	next(1)
	r := Record{Agent: hop.IP(next(4)), Service: desired.ServiceKey(binary.BigEndian.Uint64(next(8)))}
	r.Incarnation.Started = int64(binary.BigEndian.Uint64(next(8)))
	r.LatestStarted = int64(binary.BigEndian.Uint64(next(8)))
	r.WrittenAt = time.UnixMilli(int64(binary.BigEndian.Uint64(next(8))))
	count, instanceSize := int(binary.BigEndian.Uint16(next(2))), int(next(1)[0])
	if count > MaxFlows || len(body) != instanceSize+count*rowSize {
		return Record{}, eris.Errorf("decode record of flows: %d flows and an instance of %d bytes in %d bytes",
			count, instanceSize, len(body))
	}
	r.Incarnation.Instance = string(next(instanceSize))
	for range count {
		id, _ := flow.DecodeID(next(flowIDSize))
		r.Flows = append(r.Flows, Flow{ID: id, Acknowledged: binary.BigEndian.Uint32(next(4))})
	}
	return r, nil
}
