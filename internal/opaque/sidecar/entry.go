package sidecar

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

// HandleHeartbeat implements HeartbeatHandler. A change takes effect at this agent at once, and balancers learn of it from the
// store. A stale heartbeat is logged and is not an error: a newer one of the same incarnation has been taken. One of another
// incarnation that is ignored is an error. One with fields that no entry can have is refused: balancers would not use
// the target.
func (s *Sidecar) HandleHeartbeat(h resident.Heartbeat, address string) error {
	if address != s.settings.Target.String() || h.Service != s.settings.Service {
		return eris.Errorf("heartbeat of service %s at %s does not match this agent's target: service %s at %s",
			h.Service, address, s.settings.Service, s.settings.Target)
	}
	if err := (registry.Entry{Service: h.Service, Zone: h.Zone, Slots: h.Slots}).Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	now := time.Now()
	outcome := s.gate.HandleHeartbeat(now, h)
	if !outcome.IsStale && !outcome.IsUnconfirmed {
		s.lastHeartbeatAt = now
		s.records.HandleHeartbeat(now, h)
		if outcome.HasChanged {
			s.wakeRecord()
		}
	}
	isComplete := s.gate.IsFlowTableComplete(now)
	s.updateEntry(outcome.HasChanged)
	s.mu.Unlock()
	if outcome.IsUnconfirmed {
		return eris.Errorf("heartbeat %d of the incarnation started at %d, which may be an earlier one than the known incarnation",
			h.Sequence, h.Started)
	}
	if outcome.IsStale {
		s.HandleRefused(h.Instance, eris.Errorf(
			"stale heartbeat: sequence %d of the incarnation started at %d is not newer than the last one", h.Sequence, h.Started))
		return nil
	}
	if outcome.HasChanged {
		s.deps.Log.Emit(events.TargetHeartbeat, events.F("instance", h.Instance), events.F("started", h.Started),
			events.F("sequence", h.Sequence), events.F("service", h.Service), events.F("slots", h.Slots),
			events.F("draining", h.IsDraining), events.F("complete", isComplete))
	}
	s.resetEndedFlows(h.Instance, outcome)
	return nil
}

// watchTarget checks for signs of life of the target until ctx ends. When they have been missing for too long, it ends the
// target's flows.
func (s *Sidecar) watchTarget(ctx context.Context) error {
	duty.Every(ctx, s.settings.Heartbeat/resident.TicksPerHeartbeat, func(now time.Time) {
		s.mu.Lock()
		outcome := s.gate.Tick(now)
		s.updateEntry(outcome.HasChanged)
		lastHeartbeatAt := s.lastHeartbeatAt
		s.mu.Unlock()
		if outcome.HasChanged {
			s.deps.Log.Emit(events.TargetSilent, events.F("instance", outcome.PreviousInstance),
				events.F("flows", len(outcome.EndedFlows)), events.Age("heartbeat_ms", now, lastHeartbeatAt))
		}
		s.resetEndedFlows("", outcome)
	})
	return nil
}

func (s *Sidecar) readLastHeartbeatAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHeartbeatAt
}

// HandleLeave implements HeartbeatHandler.
func (s *Sidecar) HandleLeave(instance string) {
	s.mu.Lock()
	isTarget := s.gate.HandleLeave(instance)
	s.updateEntry(isTarget)
	s.mu.Unlock()
	if isTarget {
		s.deps.Log.Emit(events.TargetLeft, events.F("instance", instance))
	}
}

// HandleRefused implements HeartbeatHandler.
func (s *Sidecar) HandleRefused(instance string, err error) {
	s.deps.Log.Emit(events.TargetHeartbeatRefused, events.F("instance", instance), events.Err(err))
}

// updateEntry passes the target's entry to the writer when it has changed. The caller holds mu.
func (s *Sidecar) updateEntry(hasChanged bool) {
	if !hasChanged {
		return
	}
	entry := s.gate.Entry()
	if entry == (registry.Entry{}) {
		return
	}
	s.writer.SetDesired(entry)
	s.wakeWriter()
}

// wakeWriter makes the duty that maintains the entry look for a call that is due.
func (s *Sidecar) wakeWriter() {
	select {
	case s.entryChanged <- struct{}{}:
	default:
	}
}

// resetEndedFlows sends resets to the callers of flows that were lost with their target. instance is the instance that has
// replaced the target, or empty.
func (s *Sidecar) resetEndedFlows(instance string, outcome resident.Outcome) {
	if len(outcome.EndedFlows) == 0 {
		return
	}
	s.deps.Log.Emit(events.OpaqueFlowsLost, events.F("instance", outcome.PreviousInstance),
		events.F("flows", len(outcome.EndedFlows)))
	now := time.Now()
	var buffer [64]byte
	for _, f := range outcome.EndedFlows {
		s.deps.Log.Emit(events.OpaqueFlowEnded, events.F("flow", f.ID.String()), events.F("former", outcome.PreviousInstance),
			events.F("instance", instance), events.F("told", true), events.F("reason", outcome.Cause.String()),
			events.Age("flow_ms", now, f.AcceptedAt))
		packet := s.deps.Codec.AppendReset(buffer[:0], f.ID, f.Acknowledged)
		s.send(packet, callerAddress(f.ID, s.settings.Data.Port()))
	}
}

func callerAddress(id flow.ID, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(id.Caller.IP), port)
}

// flushTimeout bounds the time in which a stopping agent writes the last change of its target's entry, usually that the target
// has left. It is enough for one call to a slow store.
const flushTimeout = 400 * time.Millisecond

// maintainEntry keeps the target's entry in the store up to date until ctx ends.
func (s *Sidecar) maintainEntry(ctx context.Context) error {
	for ctx.Err() == nil {
		s.stepEntry(ctx)
	}
	return nil
}

// flushEntry tries to write the last change of the entry to the store within flushTimeout.
func (s *Sidecar) flushEntry() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for ctx.Err() == nil && !s.isEntryUpToDate() {
		s.stepEntry(ctx)
	}
}

func (s *Sidecar) isEntryUpToDate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer.IsUpToDate()
}

// stepEntry makes the next store call for the entry, or waits until one is due.
func (s *Sidecar) stepEntry(ctx context.Context) {
	s.mu.Lock()
	s.writer.SetHasFlows(s.gate.FlowCount() > 0)
	step, wait := s.writer.Next(time.Now())
	if step == registry.Write {
		s.updateJoining()
	}
	entry, revision := s.writer.NextWrite()
	s.mu.Unlock()
	switch step {
	case registry.Read:
		s.readEntry(ctx)
	case registry.Write:
		s.writeEntry(ctx, entry, revision)
	case registry.Idle:
		s.waitForChange(ctx, wait)
	}
}

// updateJoining updates whether the next write adds the target to the store. The caller holds mu. What the store holds must be
// known.
func (s *Sidecar) updateJoining() { s.gate.SetJoining(time.Now(), s.writer.NextWriteJoins()) }

// waitForChange waits for a change of the entry, or for at most wait when that is not zero.
func (s *Sidecar) waitForChange(ctx context.Context, wait time.Duration) {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-s.entryChanged:
	case <-due:
	}
}

func (s *Sidecar) readEntry(ctx context.Context) {
	item, err := s.deps.Store.Read(ctx, registry.Key(s.self))
	if eris.Is(err, store.ErrNotFound) && !s.hadEntry() {
		s.checkNeverWritten(ctx, item.Version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil, eris.Is(err, store.ErrNotFound):
		s.handleStoreSuccess()
		s.handleStoredEntry(item)
	default:
		s.writer.HandleFailedRead(time.Now())
		s.records.HandleEntryFailure(time.Now())
		s.handleStoreFailure(err, "read entry")
	}
}

func (s *Sidecar) hadEntry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer.HadEntry()
}

// checkNeverWritten records whether an entry that the store does not hold has never been written: the store cannot have lost it.
// returned is the version with which the store answered.
func (s *Sidecar) checkNeverWritten(ctx context.Context, returned store.Version) {
	isNeverWritten := registry.IsNeverRestored(returned)
	if !isNeverWritten {
		isNeverWritten = !s.readMayLackEntries(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isNeverWritten = isNeverWritten
}

// readMayLackEntries reports whether the store may have lost entries. When that is not known, it reports true.
func (s *Sidecar) readMayLackEntries(ctx context.Context) bool {
	item, err := s.deps.Store.Read(ctx, registry.EraKey)
	mayLackEntries := true
	if err == nil || eris.Is(err, store.ErrNotFound) {
		mayLackEntries, err = registry.MayLackEntries(item)
	}
	if err != nil {
		s.deps.Log.Emit(events.StoreUnavailable, events.F("step", "read era"), events.F("peer", "store"), events.Err(err))
		return true
	}
	return mayLackEntries
}

// handleStoredEntry records the entry that the store holds. The caller holds mu.
func (s *Sidecar) handleStoredEntry(item store.Item) {
	s.writer.RecordCall(time.Now())
	s.records.HandleEntryRead(item.Version.Revision() > 0)
	s.wakeRecord()
	err := s.writer.HandleRead(item.Value, item.Version)
	s.updateJoining()
	if s.writer.IsOutdated() {
		s.deps.Log.Emit(events.EntryLost, events.F("revision", item.Version.Revision()), events.F("era", item.Version.Era()))
	}
	if err != nil {
		s.deps.Log.Emit(events.TargetEntryRefused, events.F("key", item.Key), events.F("revision", item.Version.Revision()),
			events.Err(err))
	}
}

func (s *Sidecar) writeEntry(ctx context.Context, entry registry.Entry, revision store.Version) {
	value, err := entry.Encode()
	var item store.Item
	if err == nil {
		item, err = s.deps.Store.CompareAndSwap(ctx, registry.Key(s.self), revision, value, registry.ChangesKey)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.handleStoreSuccess()
		isCreated := s.isNeverWritten && !s.writer.HadEntry() && item.Version.Era() == entry.Era
		s.writer.RecordCall(time.Now())
		s.writer.HandleWritten(entry, item.Version)
		s.updateJoining()
		if isCreated {
			s.gate.SetEntryCreated()
		}
		if entry.HasLeft {
			s.gate.SetLeft(time.Now())
		}
		s.deps.Log.Emit(events.EntryWritten, events.F("revision", item.Version.Revision()), events.F("era", item.Version.Era()),
			events.F("draining", entry.IsDraining), events.F("left", entry.HasLeft),
			events.F("complete", s.gate.IsFlowTableComplete(time.Now())))
	case eris.Is(err, store.ErrConflict) && item.Version != revision:
		s.handleStoredEntry(item)
	case eris.Is(err, store.ErrRefused):
		s.writer.HandleUnknownOutcome(time.Now())
		s.records.HandleEntryFailure(time.Now())
		s.handleStoreFailure(err, "write entry")
	default:
		s.writer.HandleUnresolvedWrite(time.Now(), entry, revision)
		s.records.HandleEntryFailure(time.Now())
		s.handleStoreFailure(err, "write entry")
	}
}

// handleBalancerEra records the era of the store that a balancer has reported. The balancer knows the target.
func (s *Sidecar) handleBalancerEra(now time.Time, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer.HandleReport(now, era, s.checkDelay) {
		s.wakeWriter()
	}
}

// handleUnreadableEntry makes the agent read its entry, which a balancer cannot decode, and write it again.
func (s *Sidecar) handleUnreadableEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer.HandleUnreadable(time.Now()) {
		s.wakeWriter()
	}
}

// handleStoreFailure records that a store call failed. The caller holds mu.
func (s *Sidecar) handleStoreFailure(err error, step string) {
	s.isStoreUnavailable = true
	s.deps.Log.Emit(events.StoreUnavailable, events.F("step", step), events.F("peer", "store"), events.Err(err))
}

// handleStoreSuccess records that the store answers again. The caller holds mu.
func (s *Sidecar) handleStoreSuccess() {
	if s.isStoreUnavailable {
		s.isStoreUnavailable = false
		s.deps.Log.Emit(events.StoreAvailable, events.F("peer", "store"))
	}
}
