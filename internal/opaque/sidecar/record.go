package sidecar

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/record"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/store"
)

const (
	// recordInterval is the time between two checks whether the record of flows has to be written.
	recordInterval = time.Second
	// recordCallTimeout bounds a call for the record. A store that is slower is not called for a while.
	recordCallTimeout = time.Second
)

// maintainRecord reads the record of the flows once, and keeps it up to date in the store, until ctx ends. An agent that stops leaves
// the record to the next one: the target continues.
func (s *Sidecar) maintainRecord(ctx context.Context) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	var flows []resident.PersistentFlow
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.recordChanged:
		case <-ticker.C:
		}
		if s.isRecordReadDue() {
			s.readRecord(ctx)
		}
		s.resetRecordedFlows()
		flows = s.writeRecord(ctx, flows[:0])
	}
}

// wakeRecord makes the duty that maintains the record look for what is due.
func (s *Sidecar) wakeRecord() {
	select {
	case s.recordChanged <- struct{}{}:
	default:
	}
}

func (s *Sidecar) isRecordReadDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.IsReadDue(time.Now())
}

func (s *Sidecar) readRecord(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, recordCallTimeout)
	defer cancel()
	item, err := s.deps.Store.Read(callCtx, record.Key(s.self))
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && !eris.Is(err, store.ErrNotFound) {
		s.records.HandleFailedRead(now)
		s.handleStoreFailure(err, "read record")
		return
	}
	s.handleStoreSuccess()
	if err := s.records.HandleRead(now, item.Value, item.Version); err != nil {
		s.counters.recordsRefused.Inc(1)
		s.deps.Log.Emit(events.FlowRecordRefused, events.F("key", record.Key(s.self)),
			events.F("revision", item.Version.Revision()), events.Err(err))
	}
}

// resetRecordedFlows sends a reset for each flow of the record of an earlier process, once it is proven that the incarnation of the
// target which held them has ended. Flows that this process has delivered to the target are excluded.
func (s *Sidecar) resetRecordedFlows() {
	now := time.Now()
	s.mu.Lock()
	r, ok := s.records.NextReset(now)
	var ended []resident.EndedFlow
	for _, f := range r.Flows {
		if !s.gate.HasFlow(f.ID) {
			ended = append(ended, resident.EndedFlow{ID: f.ID, Acknowledged: f.Acknowledged})
		}
	}
	instance := s.gate.Instance()
	s.mu.Unlock()
	if !ok {
		return
	}
	s.counters.recordResets.Inc(int64(len(ended)))
	s.deps.Log.Emit(events.RecordedFlowsLost, events.F("former", r.Incarnation.Instance), events.F("instance", instance),
		events.F("flows", len(ended)), events.F("excluded", len(r.Flows)-len(ended)), events.Age("record_ms", now, r.WrittenAt))
	s.resetEndedFlows(instance, resident.Outcome{
		EndedFlows: ended, PreviousInstance: r.Incarnation.Instance, Cause: resident.Recorded,
	})
}

// writeRecord writes the record if that is due. It returns flows, extended for the next call.
func (s *Sidecar) writeRecord(ctx context.Context, flows []resident.PersistentFlow) []resident.PersistentFlow {
	started := time.Now()
	s.mu.Lock()
	isAllowed := s.records.IsWriteAllowed(started)
	if isAllowed {
		flows = s.gate.AppendPersistentFlows(flows)
	}
	s.mu.Unlock()
	if !isAllowed {
		return flows
	}
	recent := record.MostRecent(flows) // Sorts without holding mu, which packets wait for.
	s.mu.Lock()
	next, replaced, isDue := s.records.NextWrite(started, recent)
	s.mu.Unlock()
	if !isDue {
		return flows
	}
	value, err := next.Encode()
	var item store.Item
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, recordCallTimeout)
		defer cancel()
		item, err = s.deps.Store.CompareAndSwap(callCtx, record.Key(s.self), replaced, value, "")
	}
	if ctx.Err() != nil {
		return flows
	}
	s.handleRecordWritten(started, len(next.Flows), item.Version, err)
	return flows
}

// handleRecordWritten records the outcome of the write of a record that was started at a time.
func (s *Sidecar) handleRecordWritten(started time.Time, flows int, version store.Version, err error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.handleStoreSuccess()
		s.records.HandleWritten(now, version, now.Sub(started))
		s.counters.recordsWritten.Inc(1)
		s.counters.recordFlows.Update(float64(flows))
	case eris.Is(err, store.ErrConflict):
		s.handleStoreSuccess()
		s.records.HandleConflict(version)
	default:
		s.records.HandleStoreFailure(now)
		s.handleStoreFailure(err, "write record")
	}
}
