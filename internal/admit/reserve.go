package admit

import (
	"math"
	"time"

	"gentianswitch/internal/class"
)

// DefaultReserve is the value of ShortReserve that means two fifths of the slots.
const DefaultReserve = -1

// reserveFromSetting returns the number of slots for a value of ShortReserve.
func reserveFromSetting(setting, slots int) int {
	if setting != DefaultReserve {
		return setting
	}
	return int(math.Round(2 * float64(slots) / 5))
}

// usageWindow is the time constant of the moving average of the slots that short requests occupy.
const usageWindow = 5 * time.Second

// slotUsage is the moving average of the number of slots that short requests occupy. Long requests leave that many slots
// free, so that short requests keep their usual number of slots when uploads arrive in a burst.
type slotUsage struct {
	average   float64
	updatedAt time.Time
}

// update extends the average to now. slots is the number of slots that were occupied since the last update.
func (u *slotUsage) update(now time.Time, slots int) {
	if !u.updatedAt.IsZero() && now.After(u.updatedAt) {
		kept := math.Exp(-now.Sub(u.updatedAt).Seconds() / usageWindow.Seconds())
		u.average = u.average*kept + float64(slots)*(1-kept)
	}
	u.updatedAt = now
}

// currentReserve returns the number of slots that long requests may not occupy: the average number that short requests
// occupy, but at least the configured reserve.
func (m *Machine) currentReserve() int {
	return max(m.settings.ShortReserve, int(math.Round(m.shortUsage.average)))
}

// updateShortUsage extends the average to now. It must be called before the running requests change.
func (m *Machine) updateShortUsage(now time.Time) {
	m.shortUsage.update(now, m.countRunning(class.Short))
}
