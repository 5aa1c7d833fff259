package record_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/record"
	"gentianswitch/internal/opaque/resident"
)

var (
	start   = time.UnixMilli(1_700_000_000_000)
	agent   = hop.IP{10, 1, 0, 13}
	service = desired.ServiceKeyOf("pedidos")
)

// flowID returns the flow of the caller port.
func flowID(port int) flow.ID {
	return flow.ID{
		Caller:  flow.Endpoint{IP: [4]byte{100, 64, 0, byte(port >> 16)}, Port: uint16(port)},
		Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

// newRecord returns a record of flows of the incarnation i-1 that started 100 s before start, written 2 s before start.
func newRecord(flows int) record.Record {
	startedAt := start.Add(-100 * time.Second).UnixMilli()
	r := record.Record{
		Agent: agent, Service: service, Incarnation: resident.Incarnation{Instance: "i-1", Started: startedAt}, LatestStarted: startedAt,
		WrittenAt: start.Add(-2 * time.Second),
	}
	for n := range flows {
		r.Flows = append(r.Flows, record.Flow{ID: flowID(40000 + n), Acknowledged: uint32(n) * 1e6})
	}
	return r
}

func encode(t *testing.T, r record.Record) []byte {
	t.Helper()
	raw, err := r.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return raw
}

// seal returns an encoded record with a changed body and a checksum that fits it.
func seal(raw []byte, change func(body []byte) []byte) []byte {
	body := change(append([]byte(nil), raw[:len(raw)-8]...))
	return binary.BigEndian.AppendUint64(body, xxhash.Sum64(body))
}

// Guards against flows that are not reset, or are reset with a number that their caller ignores, since a field was lost.
func TestRecordRoundTripWithinTheSizeBound(t *testing.T) {
	for _, flows := range []int{0, 1, record.MaxFlows} {
		g := NewWithT(t)
		raw := encode(t, newRecord(flows))
		g.Expect(len(raw)).To(BeNumerically("<", record.MaxSize))
		g.Expect(record.Decode(raw)).To(Equal(newRecord(flows)))
	}
	tooLarge := newRecord(record.MaxFlows + 1)
	_, err := tooLarge.Encode()
	NewWithT(t).Expect(err).To(HaveOccurred())
}

// Guards against resets for a record that was written in part, was changed, or has another layout.
func TestInvalidRecordsAreErrors(t *testing.T) {
	raw := encode(t, newRecord(3))
	for size := range raw {
		_, err := record.Decode(raw[:size])
		NewWithT(t).Expect(err).To(HaveOccurred(), "the first %d bytes", size)
	}
	for at := range raw {
		changed := append([]byte(nil), raw...)
		changed[at] ^= 0x10
		_, err := record.Decode(changed)
		NewWithT(t).Expect(err).To(HaveOccurred(), "byte %d is changed", at)
	}
	for name, value := range map[string][]byte{
		"another encoding": seal(raw, func(body []byte) []byte { body[0] = 2; return body }),
		"more flows":       seal(raw, func(body []byte) []byte { body[38]++; return body }),
		"too many flows":   seal(raw, func(body []byte) []byte { body[37] = 0xff; return body }),
		"trailing bytes":   seal(raw, func(body []byte) []byte { return append(body, 0) }),
		"too large":        seal(raw, func(body []byte) []byte { return append(body, make([]byte, record.MaxSize)...) }),
		"JSON":             []byte(`{"flows":[]}`),
	} {
		_, err := record.Decode(value)
		NewWithT(t).Expect(err).To(HaveOccurred(), name)
	}
}

func FuzzDecode(f *testing.F) {
	r := newRecord(3)
	raw, _ := r.Encode()
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if r, err := record.Decode(raw); err == nil && len(r.Flows) > record.MaxFlows {
			t.Fatalf("%x became %d flows", raw, len(r.Flows))
		}
	})
}
