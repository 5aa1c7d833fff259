package record_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/record"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

const interval = 1200 * time.Millisecond

func after(wait time.Duration) time.Time { return start.Add(wait) }

func heartbeat(started time.Time, sequence int64) resident.Heartbeat {
	return resident.Heartbeat{Instance: "i-1", Started: started.UnixMilli(), Sequence: sequence, Service: "pedidos", Slots: 3}
}

// persistent returns count persistent flows that were accepted at a time, with the given acknowledged number.
func persistent(count int, acceptedAt time.Time, acknowledged uint32) []resident.PersistentFlow {
	var flows []resident.PersistentFlow
	for n := range count {
		flows = append(flows, resident.PersistentFlow{
			ID: flowID(40000 + n), AcceptedAt: acceptedAt, UsedAt: acceptedAt.Add(time.Duration(n)), Acknowledged: acknowledged,
		})
	}
	return flows
}

// newReading returns the machine of an agent that has read a value at start.
func newReading(t *testing.T, value []byte, version store.Version) *record.Machine {
	t.Helper()
	m := record.New(agent, service, 0)
	g := NewWithT(t)
	g.Expect(m.IsReadDue(start)).To(BeFalse(), "the entry is read first")
	m.HandleEntryRead(true)
	g.Expect(m.IsReadDue(start)).To(BeTrue())
	g.Expect(m.HandleRead(start, value, version)).To(Succeed())
	g.Expect(m.IsReadDue(after(time.Hour))).To(BeFalse(), "one read for each process")
	return m
}

// newWriting returns the machine of an agent without a record that has received two heartbeats before start.
func newWriting(t *testing.T) *record.Machine {
	t.Helper()
	m := newReading(t, nil, 0)
	m.HandleHeartbeat(after(-2*interval), heartbeat(after(-time.Minute), 7))
	m.HandleHeartbeat(after(-interval), heartbeat(after(-time.Minute), 8))
	return m
}

var old = start.Add(-30 * time.Second)

// Guards against live flows that are reset by a record which does not prove their loss, and against dead flows that stay open.
func TestRecordIsUsedOnlyIfTheFirstHeartbeatProvesALaterIncarnation(t *testing.T) {
	first := heartbeat(after(-time.Second), 1)
	for name, test := range map[string]struct {
		change    func(r *record.Record)
		heartbeat resident.Heartbeat
		at        time.Time
		isUsed    bool
	}{
		"power loss":                               {heartbeat: first, at: start, isUsed: true},
		"started before the record":                {heartbeat: heartbeat(after(-10*time.Second), 1), at: start, isUsed: true},
		"the same incarnation":                     {heartbeat: heartbeat(after(-100*time.Second), 60), at: start},
		"its first heartbeat, late":                {heartbeat: heartbeat(after(-100*time.Second), 1), at: start},
		"the agent started later":                  {heartbeat: heartbeat(after(-time.Second), 5), at: start, isUsed: true},
		"too many heartbeats missed":               {heartbeat: heartbeat(after(-time.Second), 6), at: start},
		"not the first, started before the record": {heartbeat: heartbeat(after(-10*time.Second), 2), at: start},
		"late, of an earlier incarnation":          {heartbeat: heartbeat(after(-200*time.Second), 1), at: start},
		"unknown start": {
			heartbeat: resident.Heartbeat{Instance: "i-1", Sequence: 1}, at: start,
		},
		"unknown start in the record": {
			change: func(r *record.Record) { r.Incarnation.Started, r.LatestStarted = 0, 0 }, heartbeat: first, at: start,
		},
		"late, of an earlier incarnation whose clock was ahead": {
			change: func(r *record.Record) { r.LatestStarted = after(-time.Second).UnixMilli() }, heartbeat: first, at: start,
		},
		"record of 29 s":                {heartbeat: first, at: after(27 * time.Second), isUsed: true},
		"record of 30 s":                {heartbeat: first, at: after(28 * time.Second)},
		"old record of a restored copy": {change: func(r *record.Record) { r.WrittenAt = after(-31 * time.Second) }, heartbeat: first, at: start},
		"29 s in the future": {
			change: func(r *record.Record) { r.WrittenAt = after(29 * time.Second) }, heartbeat: first, at: start, isUsed: true,
		},
		"30 s in the future": {change: func(r *record.Record) { r.WrittenAt = after(30 * time.Second) }, heartbeat: first, at: start},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRecord(3)
			if test.change != nil {
				test.change(&r)
			}
			m := newReading(t, encode(t, r), 7)
			_, isUsed := m.NextReset(test.at)
			g.Expect(isUsed).To(BeFalse(), "no heartbeat yet")
			m.HandleHeartbeat(test.at, test.heartbeat)
			used, isUsed := m.NextReset(test.at)
			g.Expect(isUsed).To(Equal(test.isUsed))
			if isUsed {
				g.Expect(used.Flows).To(Equal(r.Flows))
			}
			m.HandleHeartbeat(test.at, first)
			_, isUsed = m.NextReset(test.at)
			g.Expect(isUsed).To(BeFalse(), "a record is used once, and only for the first heartbeat")
			next, version, isDue := m.NextWrite(test.at, nil)
			g.Expect(isDue).To(Equal(test.isUsed), "a used record is replaced")
			if isDue {
				g.Expect(version).To(BeEquivalentTo(7))
				g.Expect(next.Flows).To(BeEmpty())
			}
		})
	}
}

// Guards against a call at the start of each new agent for a record that cannot exist.
func TestRecordIsNotReadWithoutAnEntry(t *testing.T) {
	g := NewWithT(t)
	m := record.New(agent, service, 0)
	m.HandleEntryRead(false)
	g.Expect(m.IsReadDue(after(time.Hour))).To(BeFalse())
	m.HandleHeartbeat(after(-2*interval), heartbeat(after(-time.Minute), 7))
	m.HandleHeartbeat(after(-interval), heartbeat(after(-time.Minute), 8))
	_, version, isDue := m.NextWrite(start, persistent(1, old, 0))
	g.Expect(isDue).To(BeTrue())
	g.Expect(version).To(BeZero())
}

// Guards against resets for the flows of another target, whose address or service the agent's target now has.
func TestRecordOfAnotherAgentOrServiceIsRefused(t *testing.T) {
	for name, change := range map[string]func(r *record.Record){
		"agent":   func(r *record.Record) { r.Agent = hop.IP{10, 1, 0, 14} },
		"service": func(r *record.Record) { r.Service = desired.ServiceKeyOf("mensajes-voz") },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newRecord(3)
			change(&r)
			m := record.New(agent, service, 0)
			m.HandleEntryRead(true)
			g.Expect(m.HandleRead(start, encode(t, r), 7)).NotTo(Succeed())
			m.HandleHeartbeat(start, heartbeat(after(-time.Second), 1))
			_, isUsed := m.NextReset(start)
			g.Expect(isUsed).To(BeFalse())
			m.HandleHeartbeat(after(interval), heartbeat(after(-time.Second), 2))
			_, version, isDue := m.NextWrite(after(interval), persistent(1, start, 0))
			g.Expect(isDue).To(BeTrue(), "a refused record is replaced")
			g.Expect(version).To(BeEquivalentTo(7))
		})
	}
}

// Guards against calls that change nothing, and against a record whose flows have ended.
func TestRecordIsWrittenOnlyIfItHasChanged(t *testing.T) {
	g := NewWithT(t)
	m := newWriting(t)
	now := start
	write := func(flows []resident.PersistentFlow) bool {
		next, version, isDue := m.NextWrite(now, flows)
		if isDue {
			g.Expect(next.Flows).To(HaveLen(len(flows)))
			m.HandleWritten(now, version+1, time.Millisecond)
		}
		now = now.Add(record.MinWriteInterval)
		return isDue
	}
	g.Expect(write(nil)).To(BeFalse(), "no flows yet")
	g.Expect(write(persistent(2, old, 0))).To(BeTrue())
	g.Expect(write(persistent(2, old, 0))).To(BeFalse())
	g.Expect(write(persistent(2, old, 38_400))).To(BeFalse(), "a reset with the stored number is accepted")
	g.Expect(write(persistent(2, old, 38_401))).To(BeTrue())
	g.Expect(write(persistent(3, old, 38_401))).To(BeTrue())
	for range 10 {
		g.Expect(write(persistent(3, old, 38_401))).To(BeFalse(), "unused flows need no newer record")
	}
	g.Expect(write(persistent(3, old, 38_402))).To(BeTrue(), "the record would be ignored because of its age")
	g.Expect(write(nil)).To(BeTrue(), "the last flow has ended")
	g.Expect(write(nil)).To(BeFalse())
}

// Guards against a record that names flows of a later incarnation, whose first heartbeat then resets them.
func TestFlowsAreRecordedOnlyIfTheIncarnationHasAcceptedThem(t *testing.T) {
	g := NewWithT(t)
	m := newWriting(t)
	_, _, isDue := m.NextWrite(start, persistent(1, after(-2*interval+1), 0))
	g.Expect(isDue).To(BeFalse(), "one heartbeat has arrived since, which may be late")
	m.HandleHeartbeat(start, heartbeat(after(-time.Minute), 9))
	_, _, isDue = m.NextWrite(start, persistent(1, after(-2*interval+1), 0))
	g.Expect(isDue).To(BeTrue())
	m.HandleHeartbeat(after(record.MinWriteInterval), heartbeat(after(time.Second), 1))
	next, _, _ := m.NextWrite(after(record.MinWriteInterval), persistent(2, old, 0))
	g.Expect(next.Flows).To(BeEmpty(), "another incarnation has been heard once")
	m = newReading(t, nil, 0)
	for n := range int64(3) {
		m.HandleHeartbeat(start, resident.Heartbeat{Instance: "i-1", Sequence: n + 1})
	}
	_, _, isDue = m.NextWrite(start, persistent(1, old, 0))
	g.Expect(isDue).To(BeFalse(), "a record without a time of start is of no use")
}

// Guards against records that exceed the size bound, and against the loss of the flows in use.
func TestMostRecentlyUsedFlowsAreRecorded(t *testing.T) {
	g := NewWithT(t)
	next, _, isDue := newWriting(t).NextWrite(start, persistent(4096, old, 0))
	g.Expect(isDue).To(BeTrue())
	g.Expect(next.Flows).To(HaveLen(record.MaxFlows))
	for _, f := range next.Flows {
		g.Expect(int(f.ID.Caller.Port)).To(BeNumerically(">=", 40000+4096-record.MaxFlows))
	}
}

// Guards against calls to a store that fails or is slow, and against a record that stays wrong after a lost answer.
func TestWritesBackOffWhileTheStoreFailsOrIsSlow(t *testing.T) {
	g := NewWithT(t)
	m := newWriting(t)
	now := start
	var waits []time.Duration
	for range 5 {
		written := now
		_, _, isDue := m.NextWrite(now, persistent(1, old, 0))
		g.Expect(isDue).To(BeTrue())
		m.HandleStoreFailure(now)
		for ; !m.IsWriteAllowed(now); now = now.Add(100 * time.Millisecond) {
		}
		waits = append(waits, now.Sub(written))
	}
	g.Expect(waits).To(Equal([]time.Duration{10 * time.Second, 20 * time.Second, 20 * time.Second, 20 * time.Second, 20 * time.Second}))
	_, _, _ = m.NextWrite(now, persistent(1, old, 0))
	m.HandleConflict(9)
	g.Expect(m.IsWriteAllowed(now)).To(BeFalse())
	now = now.Add(record.MinWriteInterval)
	_, version, isDue := m.NextWrite(now, persistent(1, old, 0))
	g.Expect(isDue).To(BeTrue(), "the store does not hold the record")
	g.Expect(version).To(BeEquivalentTo(9))
	m.HandleWritten(now, 10, time.Second)
	g.Expect(m.IsWriteAllowed(now.Add(9*time.Second))).To(BeFalse(), "the call was slow")
	m = newWriting(t)
	m.HandleEntryFailure(start)
	g.Expect(m.IsWriteAllowed(after(record.MinWriteInterval-1))).To(BeFalse(), "calls for the entry fail")
	g.Expect(m.IsWriteAllowed(after(record.MinWriteInterval))).To(BeTrue())
}

// Guards against more calls than the store's limits leave for records: 800 of all agents in 48 s, after a power loss, while flows come
// and go all the time. With lost answers, a quarter of the writes fail and a quarter meet a conflict.
func TestFleetStaysBelowTheBoundOfCalls(t *testing.T) {
	const agents, seconds, bound = 65, 48, 800
	for name, fault := range map[string]func(m *record.Machine, now time.Time, n int){
		"store is well": func(m *record.Machine, now time.Time, _ int) { m.HandleWritten(now, 9, time.Millisecond) },
		"answers get lost": func(m *record.Machine, now time.Time, n int) {
			switch n % 4 {
			case 0:
				m.HandleStoreFailure(now)
			case 1:
				m.HandleConflict(9)
			default:
				m.HandleWritten(now, 9, time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			calls := 0
			for n := range agents {
				self := hop.IP{10, 1, 0, byte(n)}
				m := record.New(self, service, registry.SpreadDelay(self, record.MinWriteInterval))
				r := newRecord(100)
				r.Agent = self
				m.HandleEntryRead(true)
				hasWritten := false
				for now := start; now.Before(after(seconds * time.Second)); now = now.Add(100 * time.Millisecond) {
					tick := int(now.Sub(start) / (100 * time.Millisecond))
					if m.IsReadDue(now) {
						calls++
						g.Expect(m.HandleRead(now, encode(t, r), 7)).To(Succeed())
					}
					if tick%12 == 0 {
						m.HandleHeartbeat(now, heartbeat(start, int64(tick/12+1)))
					}
					m.NextReset(now)
					flows := persistent(20+tick%7, start, 0)
					if tick < 20 {
						flows = nil
					}
					if next, _, isDue := m.NextWrite(now, flows); isDue {
						calls++
						hasWritten = hasWritten || len(next.Flows) > 0
						fault(m, now, tick+n)
					}
				}
				g.Expect(hasWritten).To(BeTrue())
			}
			t.Logf("%d agents made %d calls in %d s; bound %d", agents, calls, seconds, bound)
			g.Expect(calls).To(BeNumerically("<=", bound))
		})
	}
}

// Guards against writes of all agents at the same moment, when a service starts to have persistent flows.
func TestFirstWritesAreSpread(t *testing.T) {
	g := NewWithT(t)
	perSecond := make(map[int64]int)
	for n := range 65 {
		self := hop.IP{10, 1, 0, byte(n)}
		m := record.New(self, service, registry.SpreadDelay(self, record.MinWriteInterval))
		m.HandleEntryRead(true)
		g.Expect(m.HandleRead(start, nil, 0)).To(Succeed())
		m.HandleHeartbeat(start, heartbeat(old, 7))
		m.HandleHeartbeat(start, heartbeat(old, 8))
		for now := start; ; now = now.Add(50 * time.Millisecond) {
			if _, _, isDue := m.NextWrite(now, persistent(1, old, 0)); isDue {
				perSecond[int64(now.Sub(start)/time.Second)]++
				break
			}
		}
	}
	for second, writes := range perSecond {
		g.Expect(writes).To(BeNumerically("<=", 26), "second %d", second)
	}
}
