package sidecar

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/record"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

// storeFake holds keys. While isLossy is set, its writes are applied and their answers are lost.
type storeFake struct {
	store.WatchableStore
	mu      sync.Mutex
	items   map[string]store.Item
	marks   []string
	calls   int
	isLossy bool
}

func (f *storeFake) Read(_ context.Context, key string) (store.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	item, ok := f.items[key]
	if !ok {
		return store.Item{Key: key}, store.ErrNotFound
	}
	return item, nil
}

func (f *storeFake) CompareAndSwap(
	_ context.Context, key string, version store.Version, value []byte, mark string,
) (store.Item, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if held := f.items[key]; held.Version != version {
		return held, store.ErrConflict
	}
	f.marks = append(f.marks, mark)
	f.items[key] = store.Item{Key: key, Value: value, Version: version + 1}
	if f.isLossy {
		return store.Item{}, eris.New("no answer")
	}
	return f.items[key], nil
}

// putEntry writes the entry of an earlier agent process.
func (f *storeFake) putEntry(t *testing.T, agent hop.IP) {
	t.Helper()
	value, err := registry.Entry{Service: "pedidos", Slots: 3}.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f.items[registry.Key(agent)] = store.Item{Key: registry.Key(agent), Value: value, Version: 3}
}

// resetCodec encodes only resets: the flow and the sequence number.
type resetCodec struct{ flow.Codec }

func (resetCodec) AppendReset(raw []byte, id flow.ID, sequence uint32) []byte {
	return binary.BigEndian.AppendUint32(id.AppendTo(raw), sequence)
}

// newSidecar returns an agent, and the socket at which the caller 127.30.3.9 receives its packets.
func newSidecar(t *testing.T, fake *storeFake) (*Sidecar, *net.UDPConn) {
	t.Helper()
	g := NewWithT(t)
	caller, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 30, 3, 9)})
	g.Expect(err).NotTo(HaveOccurred())
	port := caller.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.30.3.1"), port) }
	s := New(Settings{
		Data: at(port), Outbound: at(0), Target: at(9), Service: "pedidos", Heartbeat: 1200 * time.Millisecond, FlowLifetime: time.Minute,
	}, Dependencies{Codec: resetCodec{}, Store: fake, Log: events.NewDiscardLogger(), Scope: tally.NoopScope})
	g.Expect(s.listen()).To(Succeed())
	t.Cleanup(func() { _, _, _ = caller.Close(), s.data.Close(), s.outbound.Close() })
	return s, caller
}

func callerFlow(port uint16) flow.ID {
	return flow.ID{
		Caller:  flow.Endpoint{IP: [4]byte{127, 30, 3, 9}, Port: port},
		Address: flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443},
	}
}

// stepRecord does what the duty does at a check.
func (s *Sidecar) stepRecord() {
	if s.isRecordReadDue() {
		s.readRecord(context.Background())
	}
	s.resetRecordedFlows()
	s.writeRecord(context.Background(), nil)
}

func (s *Sidecar) heartbeat(t *testing.T, started time.Time, sequence int64) {
	t.Helper()
	NewWithT(t).Expect(s.HandleHeartbeat(resident.Heartbeat{
		Instance: "i-1", Started: started.UnixMilli(), Sequence: sequence, Service: "pedidos", Slots: 3,
	}, "127.30.3.1:9")).To(Succeed())
}

// Guards against requests that are lost on flows of before a power loss, against resets of flows that were opened again, and against
// resets that are repeated by a later agent process.
func TestRecordedFlowsAreResetOnceAfterAPowerLoss(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	fake := &storeFake{items: make(map[string]store.Item)}
	s, caller := newSidecar(t, fake)
	key := record.Key(s.self)
	g.Expect(key).NotTo(HavePrefix(registry.KeyPrefix), "balancers would list the records")
	r := record.Record{
		Agent: s.self, Service: desired.ServiceKeyOf("pedidos"), WrittenAt: now.Add(-3 * time.Second),
		Incarnation: resident.Incarnation{Instance: "i-0", Started: now.Add(-time.Minute).UnixMilli()},
		Flows: []record.Flow{
			{ID: callerFlow(40001), Acknowledged: 70_000}, {ID: callerFlow(40002), Acknowledged: 80_000},
			{ID: callerFlow(40003), Acknowledged: 90_000},
		},
	}
	value, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	fake.items[key] = store.Item{Key: key, Value: value, Version: 7}
	fake.putEntry(t, s.self)

	s.stepRecord()
	g.Expect(fake.calls).To(BeZero(), "the entry is read first")
	s.heartbeat(t, now.Add(-time.Second), 1)
	reopened := callerFlow(40002)
	s.gate.HandleTargetPacket(now, &flow.Packet{Source: reopened.Address, Destination: reopened.Caller, Accepts: true})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.maintainRecord(ctx) }()
	s.stepEntry(ctx)
	for _, f := range []record.Flow{r.Flows[0], r.Flows[2]} {
		g.Expect(caller.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		var buffer [100]byte
		size, err := caller.Read(buffer[:])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(buffer[:size]).To(Equal(resetCodec{}.AppendReset(nil, f.ID, f.Acknowledged)))
	}
	g.Expect(caller.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
	_, err = caller.Read(make([]byte, 100))
	g.Expect(err).To(HaveOccurred(), "one reset for each flow")
	version := func() store.Version {
		item, _ := fake.Read(ctx, key)
		return item.Version
	}
	g.Eventually(version).WithTimeout(10 * time.Second).Should(BeEquivalentTo(8))
	cancel()
	g.Eventually(ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	s.stepRecord()
	replaced, err := record.Decode(fake.items[key].Value)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replaced.Flows).To(BeEmpty())
	g.Expect(fake.marks).To(Equal([]string{""}), "a record does not count as a change of an entry")
}

// Guards against a record that stops the agent, and is never replaced, because it cannot be decoded, and against one that cannot be
// written after an answer was lost.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	g := NewWithT(t)
	fake := &storeFake{items: make(map[string]store.Item), isLossy: true}
	s, _ := newSidecar(t, fake)
	key := record.Key(s.self)
	fake.items[key] = store.Item{Key: key, Value: []byte("no record"), Version: 7}
	fake.putEntry(t, s.self)
	started := time.Now().Add(-time.Minute)
	for n := range int64(3) {
		s.heartbeat(t, started, 5+n)
	}
	s.stepEntry(context.Background())
	s.stepRecord()
	write := func(at time.Time) bool {
		next, replaced, isDue := s.records.NextWrite(at, []resident.PersistentFlow{{ID: callerFlow(1), AcceptedAt: started}})
		if !isDue {
			return false
		}
		value, err := next.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		item, err := fake.CompareAndSwap(context.Background(), key, replaced, value, "")
		s.handleRecordWritten(at, len(next.Flows), item.Version, err)
		return true
	}
	at := time.Now()
	var writes int
	for range 60 {
		if write(at) {
			writes++
			fake.isLossy = false
		}
		at = at.Add(time.Second)
	}
	g.Expect(writes).To(Equal(3), "a lost answer, a conflict, a success")
	g.Expect(s.records.IsWriteAllowed(at)).To(BeTrue())
	g.Expect(record.Decode(fake.items[key].Value)).To(HaveField("Flows", HaveLen(1)))
}
