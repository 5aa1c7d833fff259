package resident

import (
	"math"
	"time"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
)

// Bounds of the load of a target.
const (
	// fullLoad is the load of a target all of whose slots are in use: fine enough to tell targets apart, and loads up to
	// eight times as high fit a byte.
	fullLoad = 32
	// maxBusy is the number of busy targets after which an opening goes to the least loaded of them. Each costs a hop.
	maxBusy = 4
)

// opens returns the decision for a packet that opens a flow which the target does not hold.
func (r *Machine) opens(now time.Time, id flow.ID, h *hop.Header) Decision {
	reason := r.target.refusal(now)
	if isLast := h.Count == 0 && h.Busy == 0 && !h.IsDuplicate; isLast && reason == Joining {
		return Decision{Verdict: Wait, Reason: Joining, Header: *h, NotifyOrigin: h.Hops > 0}
	}
	if reason != Accepting {
		return decline(h, reason)
	}
	if !h.MustAccept && r.isBusy(now) {
		if d, isElsewhere := r.passOver(h); isElsewhere {
			return d
		}
	}
	if r.mustWait(now, h) {
		return Decision{Verdict: Wait, Reason: Busy, Header: *h, NotifyOrigin: h.Hops > 0}
	}
	return r.offer(now, id, h)
}

// mustWait reports whether an opening waits here rather than at the target. The most urgent flows wait at the target as long as they
// can be answered in time there, since the requests on flows that are open already would overtake them here. Others do not
// overtake those that wait.
func (r *Machine) mustWait(now time.Time, h *hop.Header) bool {
	if h.PriorityOffset == 0 {
		return !r.HasRoom(now) && r.waiting >= r.pace.servedWithin(time.Duration(h.Objective)*time.Millisecond, r.target.last.Slots)
	}
	return r.queued > 0 || !r.HasRoom(now)
}

// isBusy reports whether no slot of the target is free. A flow that opens will use one for a part of the time.
func (r *Machine) isBusy(now time.Time) bool {
	usesAll := func() bool {
		used := float64(r.asked+r.queued) + float64(r.waiting-r.asked)*r.pace.slotShare()
		return r.target.isKnown && used >= float64(max(r.target.last.Slots, 1))
	}
	if usesAll() && now.Sub(r.sweptAt) >= openLimit/2 {
		r.Sweep(now)
	}
	return usesAll()
}

// passOver looks for a target with a free slot among the next candidates. When maxBusy of them have none, the least loaded
// one takes the flow. It reports false when that is the target here.
func (r *Machine) passOver(h *hop.Header) (Decision, bool) {
	if load := r.load(); h.Busy == 0 || load < h.Load {
		h.LeastLoaded, h.Load = r.self, load
	}
	h.Busy++
	if h.Busy < maxBusy && h.Count > 0 {
		return decline(h, Busy), true
	}
	if h.LeastLoaded == r.self {
		return Decision{}, false
	}
	return settle(h, Busy), true
}

// settle sends an opening to the least loaded target that it was offered to.
func settle(h *hop.Header, reason Reason) Decision {
	d := Decision{Verdict: ForwardNext, Reason: reason, Header: *h, Next: h.LeastLoaded}
	d.Header.MustAccept = true
	d.Header.Hops++
	return d
}

// load returns the requests that run or wait at the target and the openings in front of it; fullLoad stands for all of its
// slots. An unknown target is idle.
func (r *Machine) load() uint8 {
	if !r.target.isKnown {
		return 0
	}
	return uint8(min((r.waiting+r.queued)*fullLoad/max(r.target.last.Slots, 1), math.MaxUint8))
}

// SetQueued tells how many openings wait for room.
func (r *Machine) SetQueued(count int) { r.queued = count }

// AdmitPending returns the decision for a packet that opens a flow and has waited for room.
func (r *Machine) AdmitPending(now time.Time, id flow.ID, h *hop.Header) Decision {
	if reason := r.target.refusal(now); reason != Accepting {
		return decline(h, reason)
	}
	return r.offer(now, id, h)
}

// offer gives a flow to the target. It counts as waiting from now on, so that a burst of openings finds no more room than
// there is.
func (r *Machine) offer(now time.Time, id flow.ID, h *hop.Header) Decision {
	r.target.offered(now)
	r.hold(now, id)
	return Decision{Verdict: Deliver, Mark: r.remember(h), NotifyOrigin: h.Hops > 0}
}

// HandleWaitExpired returns the decision for a packet that opens a flow and has waited in vain. The balancer tells the caller at once,
// unless a copy of the packet may have been accepted elsewhere.
func (r *Machine) HandleWaitExpired(h *hop.Header, mayBeElsewhere bool) Decision {
	d := Decision{Verdict: ReturnToBalancer, Reason: Busy, Header: *h}
	d.Header.Kind, d.Header.Count = hop.Refused, 0
	d.Header.MayBeOpen = h.MayBeOpen || mayBeElsewhere
	return d
}

// Redirect returns the decision for a packet that opens a flow and waits at an agent that ends.
func Redirect(h *hop.Header) Decision { return decline(h, Stopping) }

// CanAnswerWithin reports whether the target would answer another flow in a time, as far as is known.
func (r *Machine) CanAnswerWithin(left time.Duration) bool {
	return r.pace.isKnown() && r.waiting < r.pace.servedWithin(left, r.target.last.Slots)
}

// Capacity returns the number of requests that the target answers in a time while all of its slots are in use, or 0 when
// that is not known.
func (r *Machine) Capacity(in time.Duration) int {
	if r.pace.run == 0 {
		return 0
	}
	return max(int(in*time.Duration(r.target.last.Slots)/r.pace.run), 1)
}

// HasRoom reports whether a new request would run at once or wait only briefly at the target. Before the target has
// told its slots there is always room.
func (r *Machine) HasRoom(now time.Time) bool {
	if r.target.joins(now) {
		return false
	}
	slots := max(r.target.last.Slots, 1)
	return !r.target.isKnown || r.waiting < slots+r.pace.headroom(slots)
}

// Load returns the number of flows that wait for the target, and its slots.
func (r *Machine) Load() (waiting, slots int) { return r.waiting, r.target.last.Slots }
