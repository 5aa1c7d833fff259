package record

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

const (
	// MinWriteInterval is the minimum time between two writes of an agent. 65 agents then make at most 650 writes in 48 s; all
	// calls for records must stay below 800.
	MinWriteInterval = 5 * time.Second
	// maxBackoff bounds the time without writes after failed or slow calls.
	maxBackoff = 20 * time.Second
	// slowCall is the duration from which a call counts as slow. A store that is well answers within some milliseconds.
	slowCall = 500 * time.Millisecond
	// maxReads is the number of attempts to read the record, and readRetryDelay the time between them. A later read would be of
	// little use: callers send their next requests within some seconds.
	maxReads       = 2
	readRetryDelay = time.Second
	// maxAge is the age from which a record is ignored. A caller may use the port of a recorded flow again for a flow at another
	// agent, but not that soon. It also bounds how far the time of a record may be in the future, since clocks differ.
	maxAge = 30 * time.Second
	// maxMissedSequence is the highest sequence of the first heartbeat that the process receives, if the incarnation started after the
	// record was written. After a power loss the target sends some heartbeats before its agent listens.
	maxMissedSequence = 5
	// maxUnrecordedBytes is the number of bytes that the caller may acknowledge before its flow is written again. The other half of the
	// window in which a reset is accepted remains for the time until the write.
	maxUnrecordedBytes = flow.ResetWindow / 2
	// refreshAge is the age from which a record is written again if a flow has been used since, because records older than maxAge
	// are ignored.
	refreshAge = 20 * time.Second
)

// Machine decides when the record of an agent's flows is read and written, and which flows are reset. Each write names the version
// that it replaces. A record states only which flows an incarnation or earlier ones had accepted, which stays true, so a write that
// the store applies late does no harm. The methods must not be called concurrently.
//
// The recorded flows are reset if the first heartbeat that the process receives is one of the first of a later incarnation than any
// that the agent knew when it wrote the record. Every other heartbeat may be late.
type Machine struct {
	agent   hop.IP
	service desired.ServiceKey
	// spread is the delay of the first write. It differs between agents.
	spread time.Duration

	// isReadAllowed is set once the entry has been read. isReadDone is set when the record has been read, or cannot be.
	isReadAllowed, isReadDone bool
	failedReads               int
	readAt                    time.Time
	// version is the last known version of the record. Revision zero means that there is none.
	version store.Version
	// inherited is the record of an earlier process, until it is known whether its flows are reset.
	inherited *Record

	// first is the first heartbeat, valid when hasHeard is set. current is the incarnation of the last one, which arrived at heardAt,
	// and the one before of the same incarnation at heardBeforeAt, or never if that is zero.
	first                  resident.Heartbeat
	hasHeard               bool
	current                resident.Incarnation
	heardAt, heardBeforeAt time.Time
	latestStarted          int64

	// stored are the flows of the last write, with their acknowledged sequence numbers. isStoredKnown is set while the store is known
	// to hold them. mayHoldFlows is set while the store may hold a record of this process with flows, or one whose flows were reset.
	stored                      map[flow.ID]uint32
	isStoredKnown, mayHoldFlows bool
	storedAt                    time.Time
	nextWriteAt                 time.Time
	failures                    int
}

// New returns the machine of an agent that starts.
func New(agent hop.IP, service desired.ServiceKey, spread time.Duration) *Machine {
	return &Machine{agent: agent, service: service, spread: spread, isStoredKnown: true}
}

// HandleEntryRead records that the agent has read the entry of its target. The record is read after it. Without an entry no other agent
// process has run here before, so there is no record to read.
func (m *Machine) HandleEntryRead(hasEntry bool) {
	m.isReadAllowed = true
	m.isReadDone = m.isReadDone || !hasEntry
}

// IsReadDue reports whether the record has to be read now.
func (m *Machine) IsReadDue(now time.Time) bool {
	return m.isReadAllowed && !m.isReadDone && !now.Before(m.readAt)
}

// HandleFailedRead records that the record could not be read.
func (m *Machine) HandleFailedRead(now time.Time) {
	m.failedReads++
	m.readAt = now.Add(readRetryDelay)
	m.isReadDone = m.failedReads >= maxReads
	m.HandleStoreFailure(now)
}

// HandleRead records the value that was read, and its version, whose revision is zero if there is no record. It returns an error if the
// record is refused: it cannot be decoded, or is of another agent or service.
func (m *Machine) HandleRead(now time.Time, value []byte, version store.Version) error {
	m.isReadDone, m.version = true, version
	if version.Revision() == 0 {
		return nil
	}
	r, err := Decode(value)
	switch {
	case err != nil:
		return err
	case r.Agent != m.agent || r.Service != m.service:
		return eris.Errorf("record of flows of the agent %v and the service %x", r.Agent, uint64(r.Service))
	}
	if isCurrent(now, &r) {
		m.latestStarted = max(m.latestStarted, r.LatestStarted)
		m.inherited = &r
	}
	return nil
}

// isFirst reports whether a heartbeat is one of the first of its incarnation, so that the incarnation has accepted none of the recorded
// flows: it is the very first one, or the incarnation started after the record was written, by the clock of the same VM.
func isFirst(h resident.Heartbeat, r *Record) bool {
	return h.Sequence <= resident.MaxFirstSequence || h.Sequence <= maxMissedSequence && h.Started > r.WrittenAt.UnixMilli()
}

// isCurrent reports whether the age of a record permits its use.
func isCurrent(now time.Time, r *Record) bool {
	age := now.UnixMilli() - r.WrittenAt.UnixMilli()
	return age > -maxAge.Milliseconds() && age < maxAge.Milliseconds()
}

// HandleHeartbeat records a heartbeat that the agent has taken for one of its target.
func (m *Machine) HandleHeartbeat(now time.Time, h resident.Heartbeat) {
	if !m.hasHeard {
		m.first, m.hasHeard = h, true
	}
	incarnation := h.Incarnation()
	m.heardBeforeAt = m.heardAt
	if incarnation != m.current {
		m.heardBeforeAt = time.Time{}
	}
	m.current, m.heardAt = incarnation, now
	m.latestStarted = max(m.latestStarted, h.Started)
}

// NextReset returns the record whose flows have to be reset, except those that the target has accepted since this process started. It
// reports false if there is none. It returns each record at most once.
func (m *Machine) NextReset(now time.Time) (Record, bool) {
	if m.inherited == nil || !m.hasHeard {
		return Record{}, false
	}
	r := m.inherited
	m.inherited = nil
	isProven := r.Incarnation.Started != 0 && m.first.Started > max(r.Incarnation.Started, r.LatestStarted) &&
		isFirst(m.first, r) && isCurrent(now, r)
	if !isProven || len(r.Flows) == 0 {
		return Record{}, false
	}
	// The record is replaced at once, so that the next process does not reset the flows again.
	m.mayHoldFlows, m.isStoredKnown, m.nextWriteAt = true, false, now
	return *r, true
}

// IsWriteAllowed reports whether NextWrite may return a record now.
func (m *Machine) IsWriteAllowed(now time.Time) bool {
	return m.isReadDone && m.inherited == nil && !now.Before(m.nextWriteAt)
}

// NextWrite returns the record to write and the version that it replaces. flows are all persistent flows of the target. It reports
// false if no write is due.
func (m *Machine) NextWrite(now time.Time, flows []resident.PersistentFlow) (Record, store.Version, bool) {
	if !m.IsWriteAllowed(now) {
		return Record{}, 0, false
	}
	recorded := m.selectFlows(flows)
	switch {
	case !m.mayHoldFlows && len(recorded) == 0, !m.hasChanged(now, recorded):
		return Record{}, 0, false
	case m.nextWriteAt.IsZero() && m.spread > 0:
		m.nextWriteAt = now.Add(m.spread)
		return Record{}, 0, false
	}
	m.stored = make(map[flow.ID]uint32, len(recorded))
	for _, f := range recorded {
		m.stored[f.ID] = f.Acknowledged
	}
	m.isStoredKnown, m.mayHoldFlows, m.storedAt, m.nextWriteAt = false, true, now, now.Add(MinWriteInterval)
	return Record{
		Agent: m.agent, Service: m.service, Incarnation: m.current, LatestStarted: m.latestStarted, WrittenAt: now, Flows: recorded,
	}, m.version, true
}

// selectFlows returns the flows to record. Only flows are recorded that the current incarnation or an earlier one is known to have
// accepted: a later one may already run. Two heartbeats must have arrived since, because one may have been late. Without a time of start
// no record could be used.
func (m *Machine) selectFlows(flows []resident.PersistentFlow) []Flow {
	if m.current.Started == 0 || m.heardBeforeAt.IsZero() || len(m.current.Instance) > maxInstanceBytes {
		return nil
	}
	flows = MostRecent(flows)
	recorded := make([]Flow, 0, len(flows))
	for _, f := range flows {
		if !f.AcceptedAt.After(m.heardBeforeAt) {
			recorded = append(recorded, Flow{ID: f.ID, Acknowledged: f.Acknowledged})
		}
	}
	return recorded
}

// MostRecent returns at most MaxFlows flows, those that were used last. It reorders flows.
func MostRecent(flows []resident.PersistentFlow) []resident.PersistentFlow {
	if len(flows) <= MaxFlows {
		return flows
	}
	slices.SortFunc(flows, func(a, b resident.PersistentFlow) int { return b.UsedAt.Compare(a.UsedAt) })
	return flows[:MaxFlows]
}

// hasChanged reports whether the record has to be written again: it has other flows, or resets with the stored numbers would soon be
// ignored.
func (m *Machine) hasChanged(now time.Time, flows []Flow) bool {
	if !m.isStoredKnown || len(flows) != len(m.stored) {
		return true
	}
	isUsed := false
	for _, f := range flows {
		acknowledged, isStored := m.stored[f.ID]
		if !isStored || f.Acknowledged-acknowledged > maxUnrecordedBytes {
			return true
		}
		isUsed = isUsed || f.Acknowledged != acknowledged
	}
	return isUsed && now.Sub(m.storedAt) >= refreshAge
}

// HandleWritten records that the store has written the record at a version, in a call of the given duration.
func (m *Machine) HandleWritten(now time.Time, version store.Version, took time.Duration) {
	m.version, m.isStoredKnown = version, true
	m.mayHoldFlows = len(m.stored) > 0
	if took >= slowCall {
		m.HandleStoreFailure(now)
		return
	}
	m.failures = 0
}

// HandleConflict records that the store holds the record at another version than the last known one, and has written nothing.
func (m *Machine) HandleConflict(version store.Version) { m.version, m.failures = version, 0 }

// HandleEntryFailure records that a call for the entry of the target has failed. Such calls are repeated quickly, so they delay a write
// without extending the backoff.
func (m *Machine) HandleEntryFailure(now time.Time) { m.delayWrite(now.Add(MinWriteInterval)) }

// HandleStoreFailure records that a call for the record has failed or was slow. The outcome of a failed write stays unknown; the next
// write then meets a conflict or succeeds.
func (m *Machine) HandleStoreFailure(now time.Time) {
	m.failures++
	m.delayWrite(now.Add(min(MinWriteInterval<<min(m.failures, 8), maxBackoff)))
}

func (m *Machine) delayWrite(until time.Time) {
	if until.After(m.nextWriteAt) {
		m.nextWriteAt = until
	}
}
