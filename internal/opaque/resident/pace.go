package resident

import (
	"math"
	"time"
)

// pace measures how fast the target works and how long its callers take to open a flow.
type pace struct {
	// run is the running mean of the time of a request in a slot, handshake that of the time in which a flow that is offered
	// opens. They are zero while nothing has been measured.
	run, handshake time.Duration
	// fullAt is the moment of the last answer that left all slots in use, or zero.
	fullAt time.Time
}

// paceSamples is the weight of the past in the running means: as many answers as a slow start of two seconds has.
const paceSamples = 32

// maxOutlier bounds a sample, in running means.
const maxOutlier = 4

func mean(past, sample time.Duration) time.Duration {
	if past == 0 {
		return sample
	}
	return past + (sample-past)/paceSamples
}

// opened takes the time from the offer of a flow to its opening.
func (p *pace) opened(took time.Duration) {
	if took <= openLimit {
		p.handshake = mean(p.handshake, took)
	}
}

// answered takes an answer. A request that found a free slot tells its time; between two answers that leave all slots in use, each
// slot has done its part of one request.
func (p *pace) answered(now time.Time, took time.Duration, hadSlot, isFull bool, slots int) {
	switch {
	case hadSlot:
		p.ran(took)
	case isFull && !p.fullAt.IsZero():
		p.ran(now.Sub(p.fullAt) * time.Duration(slots))
	}
	p.fullAt = time.Time{}
	if isFull {
		p.fullAt = now
	}
}

// ran takes the time of a run. One that takes very long moves the mean no further than one of maxOutlier times the mean.
func (p *pace) ran(took time.Duration) {
	if p.run > 0 {
		took = min(took, maxOutlier*p.run)
	}
	p.run = mean(p.run, took)
}

// isKnown reports whether both times have been measured.
func (p *pace) isKnown() bool { return p.run > 0 && p.handshake > 0 }

// slotShare returns the part of the time until its answer in which a flow that opens uses a slot.
func (p *pace) slotShare() float64 {
	if !p.isKnown() {
		return 1
	}
	return float64(p.run) / float64(p.run+p.handshake)
}

// headroom returns the number of flows beyond the slots that are given to the target: as many as it answers while a flow opens, so
// that no slot is idle meanwhile, and two, since runs vary.
func (p *pace) headroom(slots int) int {
	if !p.isKnown() {
		return slots
	}
	return int(p.handshake*time.Duration(slots)/p.run) + 2
}

// servedWithin returns the number of flows that a target answers within an objective when all of them are given to it at once.
func (p *pace) servedWithin(objective time.Duration, slots int) int {
	if !p.isKnown() {
		return math.MaxInt
	}
	return int(max(objective-p.handshake, 0) * time.Duration(slots) / p.run)
}
