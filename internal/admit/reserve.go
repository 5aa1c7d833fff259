package admit

import (
	"math"
	"time"

	"gentianswitch/internal/class"
)

// DefaultReserve as the declared reserve stands for two fifths of the slots.
const DefaultReserve = -1

// declaredReserve returns the reserve in slots that a setting stands for.
func declaredReserve(setting, slots int) int {
	if setting != DefaultReserve {
		return setting
	}
	return int(math.Round(2 * float64(slots) / 5))
}

// useWindow is the time over which the slots in use by short work are averaged.
const useWindow = 5 * time.Second

// shortUse is the moving average of the slots that short work uses. Long work leaves that many slots free, so that
// short work finds the slots that it is used to even when uploads arrive in a burst.
type shortUse struct {
	average float64
	at      time.Time
}

// advance counts the slots in use since the last call.
func (u *shortUse) advance(now time.Time, slots int) {
	if !u.at.IsZero() && now.After(u.at) {
		kept := math.Exp(-now.Sub(u.at).Seconds() / useWindow.Seconds())
		u.average = u.average*kept + float64(slots)*(1-kept)
	}
	u.at = now
}

// reserve returns the number of slots that long work may not take: what short work uses on average, at least the
// declared reserve.
func (m *Machine) reserve() int {
	return max(m.settings.ShortReserve, int(math.Round(m.use.average)))
}

// advanceUse brings the average up to now. It must run before the state changes.
func (m *Machine) advanceUse(now time.Time) {
	m.use.advance(now, m.countRunning(class.Short))
}
