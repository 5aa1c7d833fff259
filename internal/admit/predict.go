package admit

import (
	"slices"
	"time"

	"gentianswitch/internal/class"
)

// predictWait returns the time until w would take a slot. It lays the work ahead of w out over the slots, each piece
// with the mean duration of its class.
func (m *Machine) predictWait(now time.Time, w waiting) time.Duration {
	lane := m.freeTimes(now, w.class)
	mean := m.durations.mean(w.class)
	for i := range m.queue {
		ahead := &m.queue[i]
		if ahead.class != w.class || ahead.request.ID == w.request.ID || !ahead.isBefore(&w) {
			continue
		}
		lane[0] += mean
		sink(lane)
	}
	return lane[0]
}

// freeTimes returns, in ascending order, the time until each slot that class c may use becomes free.
func (m *Machine) freeTimes(now time.Time, c class.Class) []time.Duration {
	limit := m.settings.Slots
	if c == class.Long {
		limit = m.longLane()
	}
	busy := make([]time.Duration, 0, len(m.running))
	for _, r := range m.running {
		if c == class.Long && r.class != class.Long {
			continue
		}
		busy = append(busy, m.residual(now, r))
	}
	slices.Sort(busy)
	if len(busy) > limit {
		// The work beyond the lane ends first and frees no slot for it.
		busy = busy[len(busy)-limit:]
	}
	return append(make([]time.Duration, limit-len(busy), limit), busy...)
}

// longLane is the number of slots that long work can count on.
func (m *Machine) longLane() int {
	if m.countWaiting(class.Short) > 0 {
		return 1
	}
	return m.longLimit()
}

// residual estimates how long a running request still takes. One that has passed the mean is expected to take a
// quarter of its age more.
func (m *Machine) residual(now time.Time, r running) time.Duration {
	const overdueShare = 4
	age := now.Sub(r.started)
	return max(m.durations.mean(r.class)-age, age/overdueShare)
}

// sink restores the ascending order after the first element has grown.
func sink(lane []time.Duration) {
	for i := 1; i < len(lane) && lane[i-1] > lane[i]; i++ {
		lane[i-1], lane[i] = lane[i], lane[i-1]
	}
}

// backlog returns the time until a short request at the end of the queue would take a slot.
func (m *Machine) backlog(now time.Time) time.Duration {
	lane := m.freeTimes(now, class.Short)
	for i := range m.queue {
		lane[0] += m.durations.mean(m.queue[i].class)
		sink(lane)
	}
	return lane[0]
}

// spacing is the time in which the target finishes one short request.
func (m *Machine) spacing() time.Duration {
	return m.durations.mean(class.Short) / time.Duration(m.settings.Slots)
}
