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

// HandleHeartbeat implements Announcements. What it has taken binds this agent at once; the store tells the others.
func (s *Sidecar) HandleHeartbeat(h resident.Heartbeat, address string) error {
	if address != s.settings.Target.String() || h.Service != s.settings.Service {
		return eris.Errorf("heartbeat of service %s at %s, expected %s at %s", h.Service, address, s.settings.Service, s.settings.Target)
	}
	s.mu.Lock()
	now := time.Now()
	outcome := s.gate.HandleHeartbeat(now, h)
	if !outcome.IsStale {
		s.heardAt = now
	}
	isComplete := s.gate.IsFlowTableComplete(now)
	s.announce(outcome.HasChanged)
	s.mu.Unlock()
	if outcome.IsStale {
		s.HandleMalformed(h.Instance, eris.Errorf("sequence %d of the incarnation started at %d was overtaken", h.Sequence, h.Started))
		return nil
	}
	if outcome.HasChanged {
		s.parts.Log.Emit(events.TargetHeartbeat, events.F("instance", h.Instance), events.F("started", h.Started),
			events.F("sequence", h.Sequence), events.F("service", h.Service), events.F("slots", h.Slots),
			events.F("draining", h.IsDraining), events.F("complete", isComplete))
	}
	s.resetAll(h.Instance, outcome)
	return nil
}

// watchTarget looks for signs of the target until ctx ends.
func (s *Sidecar) watchTarget(ctx context.Context) error {
	duty.Every(ctx, s.settings.Heartbeat/resident.TicksPerHeartbeat, func(now time.Time) {
		s.mu.Lock()
		outcome := s.gate.Tick(now)
		s.announce(outcome.HasChanged)
		heardAt := s.heardAt
		s.mu.Unlock()
		if outcome.HasChanged {
			s.parts.Log.Emit(events.TargetSilent, events.F("instance", outcome.PreviousInstance), events.F("flows", len(outcome.Ended)),
				events.Age("heartbeat_ms", now, heardAt))
		}
		s.resetAll("", outcome)
	})
	return nil
}

func (s *Sidecar) heartbeatAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt
}

// HandleLeave implements Announcements.
func (s *Sidecar) HandleLeave(instance string) {
	s.mu.Lock()
	isTarget := s.gate.HandleLeave(instance)
	s.announce(isTarget)
	s.mu.Unlock()
	if isTarget {
		s.parts.Log.Emit(events.TargetLeft, events.F("instance", instance))
	}
}

// HandleMalformed implements Announcements.
func (s *Sidecar) HandleMalformed(instance string, err error) {
	s.parts.Log.Emit(events.TargetHeartbeatRefused, events.F("instance", instance), events.Err(err))
}

// announce gives the target's entry to the writer. The caller holds mu.
func (s *Sidecar) announce(hasChanged bool) {
	if !hasChanged {
		return
	}
	entry := s.gate.Entry()
	if entry == (registry.Entry{}) {
		return
	}
	s.writer.SetDesired(entry)
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// resetAll tells the callers of flows that ended with their target. The instance that has taken its place may be empty.
func (s *Sidecar) resetAll(instance string, outcome resident.Outcome) {
	if len(outcome.Ended) == 0 {
		return
	}
	s.parts.Log.Emit(events.OpaqueFlowsLost, events.F("instance", outcome.PreviousInstance), events.F("flows", len(outcome.Ended)))
	var buffer [64]byte
	for _, e := range outcome.Ended {
		s.parts.Log.Emit(events.OpaqueFlowEnded, events.F("flow", e.ID.String()), events.F("former", outcome.PreviousInstance),
			events.F("instance", instance), events.F("told", true))
		packet := s.parts.Codec.AppendReset(buffer[:0], e.ID, e.Acknowledged)
		s.write(packet, callerAddress(e.ID, s.settings.Data.Port()))
	}
}

func callerAddress(id flow.ID, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(id.Caller.IP), port)
}

// flushLimit is the time that an agent that stops takes to tell the store of its target's end: a call to a slow store.
const flushLimit = 400 * time.Millisecond

// keepEntry brings the target's entry into the store until ctx ends.
func (s *Sidecar) keepEntry(ctx context.Context) error {
	for ctx.Err() == nil {
		s.stepEntry(ctx)
	}
	return nil
}

// flushEntry brings the last change of the entry into the store, if that is possible in a short time.
func (s *Sidecar) flushEntry() {
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	for ctx.Err() == nil && !s.isEntrySettled() {
		s.stepEntry(ctx)
	}
}

func (s *Sidecar) isEntrySettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writer.IsUpToDate()
}

// stepEntry makes the next call for the entry, or waits for one to be due.
func (s *Sidecar) stepEntry(ctx context.Context) {
	s.mu.Lock()
	step, wait := s.writer.Next(time.Now())
	if step == registry.Write {
		s.noteJoining()
	}
	entry, revision := s.writer.Entry()
	s.mu.Unlock()
	switch step {
	case registry.Read:
		s.readEntry(ctx)
	case registry.Write:
		s.writeEntry(ctx, entry, revision)
	case registry.Idle:
		s.rest(ctx, wait)
	}
}

// noteJoining tells whether the next write makes the target known. The caller holds mu and knows what the store holds.
func (s *Sidecar) noteJoining() { s.gate.SetJoining(time.Now(), s.writer.NextWriteJoins()) }

// rest waits for a change of the entry, or for at most wait when it is not zero.
func (s *Sidecar) rest(ctx context.Context, wait time.Duration) {
	var due <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-s.changed:
	case <-due:
	}
}

func (s *Sidecar) readEntry(ctx context.Context) {
	item, err := s.parts.Store.Read(ctx, registry.Key(s.self))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.heardOfStore()
		s.found(item)
	case eris.Is(err, store.ErrNotFound):
		s.heardOfStore()
		s.found(store.Item{})
	default:
		s.failed(err, "read entry")
	}
}

// found takes the entry that the store holds. The caller holds mu.
func (s *Sidecar) found(item store.Item) {
	err := s.writer.HandleRead(item.Value, item.Version)
	s.noteJoining()
	if err != nil {
		s.parts.Log.Emit(events.TargetEntryRefused, events.F("key", item.Key), events.F("revision", item.Version), events.Err(err))
	}
}

func (s *Sidecar) writeEntry(ctx context.Context, entry registry.Entry, revision store.Version) {
	value, err := entry.Encode()
	var item store.Item
	if err == nil {
		item, err = s.parts.Store.Replace(ctx, registry.Key(s.self), revision, value, registry.ChangesKey)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.heardOfStore()
		s.writer.HandleWritten(entry, item.Version)
		s.noteJoining()
		if revision == 0 {
			s.gate.SetEntryCreated()
		}
		if entry.HasLeft {
			s.gate.SetLeft(time.Now())
		}
		s.parts.Log.Emit(events.EntryWritten, events.F("revision", item.Version),
			events.F("draining", entry.IsDraining), events.F("left", entry.HasLeft),
			events.F("complete", s.gate.IsFlowTableComplete(time.Now())))
	case eris.Is(err, store.ErrConflict) && item.Version != revision:
		s.found(item)
	default:
		s.failed(err, "write entry")
	}
}

// failed takes a call whose outcome is not known. The caller holds mu.
func (s *Sidecar) failed(err error, step string) {
	s.writer.HandleUnknownOutcome(time.Now())
	s.isStoreLost = true
	s.parts.Log.Emit(events.StoreUnavailable, events.F("step", step), events.F("peer", "store"), events.Err(err))
}

// heardOfStore tells that the store answers again. The caller holds mu.
func (s *Sidecar) heardOfStore() {
	if s.isStoreLost {
		s.isStoreLost = false
		s.parts.Log.Emit(events.StoreAvailable, events.F("peer", "store"))
	}
}
