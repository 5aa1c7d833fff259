package admit

import (
	"slices"
	"time"

	"gentianswitch/internal/class"
)

// predictWait returns the expected time until pending is dispatched. It assigns each queued request of the same class that is
// ahead of pending to the slot that becomes free first, for the mean duration of the class.
func (m *Machine) predictWait(now time.Time, pending pendingRequest) time.Duration {
	freeTimes := m.slotFreeTimes(now, pending.class)
	mean := m.durations.mean(pending.class)
	for i := range m.queue {
		ahead := &m.queue[i]
		if ahead.class != pending.class || ahead.request.ID == pending.request.ID || !ahead.isBefore(&pending) {
			continue
		}
		freeTimes[0] += mean
		restoreOrder(freeTimes)
	}
	return freeTimes[0]
}

// slotFreeTimes returns, for each slot that class c may use, the expected time until the slot becomes free. The times are in
// ascending order.
func (m *Machine) slotFreeTimes(now time.Time, c class.Class) []time.Duration {
	limit := m.settings.Slots
	if c == class.Long {
		limit = m.availableLongSlots()
	}
	busy := make([]time.Duration, 0, len(m.running))
	for _, r := range m.running {
		if c == class.Long && r.class != class.Long {
			continue
		}
		busy = append(busy, m.remainingTime(now, r))
	}
	slices.Sort(busy)
	if len(busy) > limit {
		// More long requests are running than the limit allows. The slots of those that finish first stay closed to long
		// requests.
		busy = busy[len(busy)-limit:]
	}
	return append(make([]time.Duration, limit-len(busy), limit), busy...)
}

// availableLongSlots returns the number of slots that long requests can expect to get. While short requests wait, long ones
// get only one slot.
func (m *Machine) availableLongSlots() int {
	if m.countQueued(class.Short) > 0 {
		return 1
	}
	return m.longSlotLimit()
}

// remainingTime estimates how long a running request still takes: the rest of the mean duration of its class, but at least a
// quarter of the time that it has run, so that an overdue request is not expected to finish at once.
func (m *Machine) remainingTime(now time.Time, r runningRequest) time.Duration {
	const minRemainingDivisor = 4
	age := now.Sub(r.startedAt)
	return max(m.durations.mean(r.class)-age, age/minRemainingDivisor)
}

// restoreOrder restores the ascending order of freeTimes after the first element was increased.
func restoreOrder(freeTimes []time.Duration) {
	for i := 1; i < len(freeTimes) && freeTimes[i-1] > freeTimes[i]; i++ {
		freeTimes[i-1], freeTimes[i] = freeTimes[i], freeTimes[i-1]
	}
}

// backlogTime returns the expected time until a slot is free for a short request at the end of the queue.
func (m *Machine) backlogTime(now time.Time) time.Duration {
	freeTimes := m.slotFreeTimes(now, class.Short)
	for i := range m.queue {
		freeTimes[0] += m.durations.mean(m.queue[i].class)
		restoreOrder(freeTimes)
	}
	return freeTimes[0]
}

// meanFinishInterval returns the mean time between two finished short requests when all slots are occupied.
func (m *Machine) meanFinishInterval() time.Duration {
	return m.durations.mean(class.Short) / time.Duration(m.settings.Slots)
}
