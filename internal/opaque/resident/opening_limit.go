package resident

import "time"

// A target that has just started is cold: it can handle fewer requests per second than a warm one. The agent therefore limits the opening
// packets that it delivers to a cold target, and for a short time those to a warm target whose availability zone has returned to service.

const (
	// limitWindow is the window within which the number of delivered opening packets is bounded. It is 10 ms longer than the second that
	// the bound is about, because packets that leave the agent at equal distances may arrive at the target closer together.
	limitWindow = time.Second + 10*time.Millisecond
	// maxPerWindow is the highest number of opening packets per window that the limiter can allow, and bounds its memory to 32 KB. The
	// targets of the known deployments handle about 55 requests per second.
	maxPerWindow = 4096
	// rampDuration is the time over which the rate of opening packets grows after the zone of a warm target has returned to service.
	rampDuration = 2 * time.Second
	// rampGrowth is what the ramp adds to the rate, as a multiple of the rate of a cold target. A cold target is slower by a factor of
	// 1.6, so at the end of the ramp the rate exceeds what a warm target can handle.
	rampGrowth = 1
)

// OpeningLimit bounds the opening packets that a cold target may receive within any one second: rate x Excess + Slack, where the rate is
// the number of requests per second that it can handle. There is no limit while Excess is 0.
type OpeningLimit struct {
	Excess, Slack float64
}

// openingLimiter decides whether an opening packet may be delivered, from the times of earlier deliveries. Its times count from the start
// of the machine.
//
// New flows are delivered at the given rate with short bursts. Retransmitted copies of opening packets are bounded by the window alone:
// the rate leaves room for them there.
type openingLimiter struct {
	limit OpeningLimit
	// deliveries is a ring of the times of the last deliveries, and count the number of deliveries so far. The ring is allocated once a
	// limit is set.
	deliveries []time.Duration
	count      int
	lastAt     time.Duration
	// nextAt is when the next delivery would be due if deliveries kept to the rate. Bursts run ahead of it.
	nextAt time.Duration
}

func (l *openingLimiter) setLimit(limit OpeningLimit) {
	l.limit = limit
	if l.isEnabled() && l.deliveries == nil {
		l.deliveries = make([]time.Duration, maxPerWindow)
	}
}

func (l *openingLimiter) isEnabled() bool { return l.limit.Excess > 0 }

// perWindow returns the number of opening packets that may be delivered within limitWindow. It is one below the bound, since one packet
// may arrive early enough to fall into the window before. A bound of one leaves no such margin.
func (l *openingLimiter) perWindow(rate float64) int {
	bound := int(min(rate*l.limit.Excess+l.limit.Slack, maxPerWindow))
	if bound <= 1 {
		return bound
	}
	return bound - 1
}

// burst returns the number of opening packets that may be delivered at once. It is half of what the bound leaves beyond the rate; the
// other half remains for retransmitted copies.
func (l *openingLimiter) burst(rate float64) float64 {
	return max((float64(l.perWindow(rate))-rate)/2, 1)
}

// maxLead returns how far nextAt may be ahead when another opening packet is delivered.
func (l *openingLimiter) maxLead(rate float64) time.Duration {
	return secondsToDuration((l.burst(rate) - 1) / rate)
}

// allowsCopy reports whether a retransmitted opening packet may be delivered: the window has room.
func (l *openingLimiter) allowsCopy(at time.Duration, rate float64) bool {
	allowed := l.perWindow(rate)
	if allowed == 0 || l.count < allowed {
		return allowed > 0
	}
	oldest := l.deliveries[(l.count-allowed)%maxPerWindow]
	return l.monotonic(at)-oldest > limitWindow
}

// allowsNew reports whether the opening packet of a new flow may be delivered.
func (l *openingLimiter) allowsNew(at time.Duration, rate float64) bool {
	return l.allowsCopy(at, rate) && l.nextAt-l.monotonic(at) <= l.maxLead(rate)
}

// record records the delivery of an opening packet. While the rate is not limited it is still recorded, because the window of a limit
// that starts later reaches back. The rate is 0 if it is not known.
func (l *openingLimiter) record(at time.Duration, rate float64) {
	if !l.isEnabled() {
		return
	}
	l.lastAt = l.monotonic(at)
	l.deliveries[l.count%maxPerWindow] = l.lastAt
	l.count++
	if rate > 0 {
		interval := secondsToDuration(1 / rate)
		// The lead is bounded, so that deliveries without a limit do not delay later ones.
		l.nextAt = min(max(l.nextAt, l.lastAt)+interval, l.lastAt+l.maxLead(rate)+interval)
	}
}

// useUpBurst makes the next deliveries keep to the rate without a burst. It is called when the rate changes or becomes known: the agent
// process before this one may have delivered a burst just now.
func (l *openingLimiter) useUpBurst(at time.Duration, rate float64) {
	l.nextAt = l.monotonic(at) + l.maxLead(rate)
}

// monotonic returns a time that is not before the last delivery. Times are taken before the machine is locked, so they may be slightly
// out of order.
func (l *openingLimiter) monotonic(at time.Duration) time.Duration { return max(at, l.lastAt) }

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// SetOpeningLimit sets the limit of the opening packets that a cold target may receive. It is called before the machine decides on packets.
func (r *Machine) SetOpeningLimit(limit OpeningLimit) { r.openings.setLimit(limit) }

// SetColdRate records the number of requests per second that a cold target of the service can handle, or 0 if there is no limit, as a
// balancer has reported it for a version of the configuration. Reports for older versions are ignored. So is a report without a rate for
// a version that has one, because that balancer does not know the service of the target.
func (r *Machine) SetColdRate(now time.Time, version uint64, rate uint16) {
	isSameVersion := version == r.coldRateVersion
	if version < r.coldRateVersion || isSameVersion && rate == 0 {
		return
	}
	hasChanged := rate != r.coldRate
	r.coldRateVersion, r.coldRate = version, rate
	if hasChanged && rate > 0 && r.openings.isEnabled() {
		r.openings.useUpBurst(now.Sub(r.startedAt), float64(rate))
	}
}

// StartRamp starts the ramp of new flows to a warm target: its availability zone has returned to service.
func (r *Machine) StartRamp(now time.Time) { r.rampStartedAt = now }

// WarmupLeft returns how long the target stays cold according to its heartbeats, or 0.
func (r *Machine) WarmupLeft(now time.Time) time.Duration {
	if !r.target.isKnown {
		return 0
	}
	return max(r.target.coldUntil.Sub(now), 0)
}

// openingRate returns the number of opening packets per second that the target may receive now, or 0 if there is no limit. A target whose
// heartbeat has not arrived yet may be cold.
func (r *Machine) openingRate(now time.Time) float64 {
	rate := float64(r.coldRate)
	sinceRampStart := max(now.Sub(r.rampStartedAt), 0)
	switch {
	case rate == 0 || !r.openings.isEnabled():
		return 0
	case !r.target.isKnown || r.target.coldUntil.After(now):
		return rate
	case sinceRampStart < rampDuration && r.target.heartbeatAt.Before(r.rampStartedAt):
		// The target may have started again since its last heartbeat, while its zone was evacuated.
		return rate
	case sinceRampStart < rampDuration:
		return rate * (1 + rampGrowth*float64(sinceRampStart)/float64(rampDuration))
	default:
		return 0
	}
}

// IsAtOpeningLimit reports whether the target may not receive the opening packet of another new flow now.
func (r *Machine) IsAtOpeningLimit(now time.Time) bool {
	rate := r.openingRate(now)
	return rate > 0 && !r.openings.allowsNew(now.Sub(r.startedAt), rate)
}

// canDeliverCopy reports whether the target may receive a copy of an opening packet now.
func (r *Machine) canDeliverCopy(now time.Time) bool {
	rate := r.openingRate(now)
	return rate == 0 || r.openings.allowsCopy(now.Sub(r.startedAt), rate)
}

// recordOpeningDelivery records that an opening packet is delivered to the target.
func (r *Machine) recordOpeningDelivery(now time.Time) {
	rate := r.openingRate(now)
	if rate == 0 {
		rate = float64(r.coldRate)
	}
	r.openings.record(now.Sub(r.startedAt), rate)
}
