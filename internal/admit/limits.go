package admit

// LimitsChanged is the event of new limits of the pool. When the new queue limit is lower than the length of the queue, the
// requests in the queue stay there.
type LimitsChanged struct {
	// ShortReserve and QueueLimit have the same meaning as in Settings.
	ShortReserve int
	QueueLimit   int
}

func (LimitsChanged) isEvent() {}

func (m *Machine) setLimits(l LimitsChanged) {
	m.settings.ShortReserve = reserveFromSetting(l.ShortReserve, m.settings.Slots)
	m.settings.QueueLimit = max(0, l.QueueLimit)
}
