package resident

import (
	"math"
	"time"
)

// serviceTimes measures how long the target works on a request and how long its callers take to open a flow.
type serviceTimes struct {
	// run is the running mean of the time that a request occupies a slot, and handshake that of the time from the delivery of
	// an opening packet until its flow is open. They are zero until the first measurement.
	run, handshake time.Duration
	// lastFullAt is the time of the last answer if it left all slots in use, or zero.
	lastFullAt time.Time
}

// meanSamples is the divisor of the running means: a new sample has a weight of one in 32. A target gives about that many
// answers during a slow start of two seconds.
const meanSamples = 32

// maxOutlierFactor bounds a sample to this multiple of the running mean.
const maxOutlierFactor = 4

// updateMean returns the running mean after one more sample. The first sample is the mean.
func updateMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/meanSamples
}

// recordHandshake records the time from the delivery of an opening packet until its flow is open. Longer times than
// maxHandshake are ignored.
func (s *serviceTimes) recordHandshake(duration time.Duration) {
	if duration <= maxHandshake {
		s.handshake = updateMean(s.handshake, duration)
	}
}

// recordAnswer records an answer that came duration after its request. A request that found a free slot (hadSlot) gives its
// run time directly. isFull says that all slots are still in use after the answer. Between two such answers the slots have
// together done the work of one request, so the run time is that interval times the number of slots.
func (s *serviceTimes) recordAnswer(now time.Time, duration time.Duration, hadSlot, isFull bool, slots int) {
	switch {
	case hadSlot:
		s.recordRun(duration)
	case isFull && !s.lastFullAt.IsZero():
		s.recordRun(now.Sub(s.lastFullAt) * time.Duration(slots))
	}
	s.lastFullAt = time.Time{}
	if isFull {
		s.lastFullAt = now
	}
}

// recordRun records the run time of a request. A very long one counts as maxOutlierFactor times the mean.
func (s *serviceTimes) recordRun(duration time.Duration) {
	if s.run > 0 {
		duration = min(duration, maxOutlierFactor*s.run)
	}
	s.run = updateMean(s.run, duration)
}

// isMeasured reports whether both times have been measured.
func (s *serviceTimes) isMeasured() bool { return s.run > 0 && s.handshake > 0 }

// slotShare returns the share of a new flow's time, from its opening packet to its answer, in which the flow uses a slot. It is
// 1 while the times are not known.
func (s *serviceTimes) slotShare() float64 {
	if !s.isMeasured() {
		return 1
	}
	return float64(s.run) / float64(s.run+s.handshake)
}

// headroom returns the number of flows beyond its slots that the target gets. That is as many as it answers during one
// handshake, so that no slot is idle meanwhile, and two more because run times vary. While the times are not known, it is the
// number of slots.
func (s *serviceTimes) headroom(slots int) int {
	if !s.isMeasured() {
		return slots
	}
	return int(s.handshake*time.Duration(slots)/s.run) + 2
}

// flowsAnsweredWithin returns the number of flows that the target answers within a time limit when it gets all of them at
// once. While the times are not known, there is no bound.
func (s *serviceTimes) flowsAnsweredWithin(limit time.Duration, slots int) int {
	if !s.isMeasured() {
		return math.MaxInt
	}
	return int(max(limit-s.handshake, 0) * time.Duration(slots) / s.run)
}
