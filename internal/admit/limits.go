package admit

// Limits replaces the declared limits of the pool while requests run and wait. Requests that wait beyond a lower
// queue limit keep their places.
type Limits struct {
	// ShortReserve and QueueLimit have the meanings of Settings.
	ShortReserve int
	QueueLimit   int
}

func (Limits) isEvent() {}

func (m *Machine) setLimits(l Limits) {
	m.settings.ShortReserve = declaredReserve(l.ShortReserve, m.settings.Slots)
	m.settings.QueueLimit = max(0, l.QueueLimit)
}
