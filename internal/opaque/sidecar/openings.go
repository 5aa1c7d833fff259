package sidecar

import (
	"context"
	"time"

	"gentianswitch/internal/duty"
	"gentianswitch/internal/opaque/admission"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

// overdueInterval is the time between two looks for openings that have waited for too long: short beside their 1.2 s.
const overdueInterval = 50 * time.Millisecond

// opening is a packet that opens a flow and waits for room at the target.
type opening struct {
	packet   flow.Packet
	header   hop.Header
	datagram []byte
	since    time.Time
}

// newOpening copies a packet that has to wait.
func newOpening(now time.Time, p *flow.Packet, h *hop.Header, datagram []byte) admission.Opening[opening] {
	// The copy has room for a trailer, in case the packet is passed on after all.
	kept := append(make([]byte, 0, len(datagram)+hop.MaxTrailer), datagram...)
	return admission.Opening[opening]{
		ID: p.FromCaller(), Copies: p.Copies,
		Urgency: admission.Urgency{
			Deferral: h.Deferral, Objective: time.Duration(h.Objective) * time.Millisecond,
		},
		Item: opening{packet: *p, header: *h, datagram: kept, since: now},
	}
}

// offerNext gives waiting flows to the target while it has room.
func (s *Sidecar) offerNext(now time.Time) {
	for {
		s.mu.Lock()
		if s.openings.Len() == 0 || !s.hasRoom(now) {
			s.mu.Unlock()
			return
		}
		next, _ := s.openings.Next(now)
		d := s.resident.Offer(now, next.ID, &next.Item.header)
		s.mu.Unlock()
		s.counters.openingWait.RecordDuration(now.Sub(next.Item.since))
		s.carryOut(&next.Item.packet, d, next.Item.datagram)
	}
}

// hasRoom reports whether the target has room once flows without a caller are left out. The caller holds mu.
func (s *Sidecar) hasRoom(now time.Time) bool {
	if !s.resident.HasRoom(now) {
		s.resident.Sweep(now)
	}
	return s.resident.HasRoom(now)
}

// endOverdue gives flows up whose callers are about to, until ctx ends.
func (s *Sidecar) endOverdue(ctx context.Context) error {
	duty.Every(ctx, overdueInterval, func(now time.Time) {
		s.takeOverdue(now)
		s.offerNext(now)
	})
	return nil
}

func (s *Sidecar) takeOverdue(now time.Time) {
	for {
		s.mu.Lock()
		overdue, ok := s.openings.Overdue(now)
		s.mu.Unlock()
		if !ok {
			return
		}
		s.giveUp(&overdue)
	}
}

// giveUp returns a flow that has waited in vain to its balancer.
func (s *Sidecar) giveUp(o *admission.Opening[opening]) {
	s.mu.Lock()
	d := s.resident.GiveUp(&o.Item.header, o.MayBeElsewhere)
	s.mu.Unlock()
	s.carryOut(&o.Item.packet, d, o.Item.datagram)
}

// handOnWaiting gives the openings that wait to their next candidates.
func (s *Sidecar) handOnWaiting() {
	for {
		s.mu.Lock()
		o, ok := s.openings.Next(time.Now())
		s.mu.Unlock()
		if !ok {
			return
		}
		s.carryOut(&o.Item.packet, resident.HandOn(&o.Item.header), o.Item.datagram)
	}
}
