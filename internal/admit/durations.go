package admit

import (
	"math"
	"time"

	"gentianswitch/internal/class"
)

// Mean durations that are assumed until the first request of the class has finished.
const (
	initialShortMean = 20 * time.Millisecond
	initialLongMean  = time.Second
)

const (
	// meanWeight is the weight of a new duration in the moving mean of its class.
	meanWeight = 0.1
	// routeMeanWeight is the weight of a new duration in the moving geometric mean of its route.
	routeMeanWeight = 0.2
	// minSamples is the number of durations that are needed before a route is reclassified or used as a reference.
	minSamples = 5
	// longRatio is the multiple of the reference duration, the shortest typical duration of the other short routes, above
	// which a short route is reclassified as long.
	longRatio = 8
	// shortRatio is the multiple of the reference duration below which the route is short again. It is lower than longRatio
	// for hysteresis.
	shortRatio = 4
	// singleRouteLongThreshold is the typical duration above which a short route is reclassified as long when no other
	// short route provides a reference. Below half of it the route is short again.
	singleRouteLongThreshold = time.Second
	// maxMeasuredRoutes bounds the number of measured routes. Further routes keep their declared class.
	maxMeasuredRoutes = 256
)

// durationStats holds statistics of request durations, by class and by route.
type durationStats struct {
	short  movingMean
	long   movingMean
	routes map[string]*routeDurations
}

// movingMean is an exponentially weighted moving mean. The first sample replaces the initial value.
type movingMean struct {
	value   time.Duration
	samples int
}

// routeDurations holds the statistics of one route. Its mean is geometric, which is robust against a few outliers.
type routeDurations struct {
	declaredClass class.Class
	// meanLog is the moving mean of the logarithms of the durations in nanoseconds.
	meanLog            float64
	samples            int
	isReclassifiedLong bool
}

func newDurationStats() *durationStats {
	return &durationStats{
		short:  movingMean{value: initialShortMean},
		long:   movingMean{value: initialLongMean},
		routes: make(map[string]*routeDurations),
	}
}

func (m *movingMean) addSample(d time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.value = d
		return
	}
	m.value += time.Duration(meanWeight * float64(d-m.value))
}

func (d *durationStats) mean(c class.Class) time.Duration {
	if c == class.Long {
		return d.long.value
	}
	return d.short.value
}

// classOf returns the class of a request after reclassification of its route.
func (d *durationStats) classOf(r Request) class.Class {
	route := d.routes[r.Route]
	if r.Class == class.Short && route != nil && route.isReclassifiedLong {
		return class.Long
	}
	return r.Class
}

// recordDuration records the duration of a finished request. It returns an action when the route of the request is
// reclassified.
func (d *durationStats) recordDuration(r runningRequest, duration time.Duration) []Action {
	if r.class == class.Long {
		d.long.addSample(duration)
	} else {
		d.short.addSample(duration)
	}
	route := d.routes[r.request.Route]
	if route == nil {
		if len(d.routes) >= maxMeasuredRoutes {
			return nil
		}
		route = &routeDurations{declaredClass: r.request.Class}
		d.routes[r.request.Route] = route
	}
	route.addSample(duration)
	return d.reclassifyRoute(r.request.Route, route)
}

func (r *routeDurations) addSample(duration time.Duration) {
	// The lower bound keeps the logarithm finite.
	value := math.Log(float64(max(duration, time.Microsecond)))
	r.samples++
	if r.samples == 1 {
		r.meanLog = value
		return
	}
	r.meanLog += routeMeanWeight * (value - r.meanLog)
}

// typical returns the typical duration, which is the moving geometric mean.
func (r *routeDurations) typical() time.Duration {
	return time.Duration(math.Exp(r.meanLog))
}

// reclassifyRoute reclassifies a declared short route as long when its requests take much longer than those of other short
// routes, and as short again when they no longer do.
func (d *durationStats) reclassifyRoute(name string, route *routeDurations) []Action {
	if route.declaredClass != class.Short || route.samples < minSamples {
		return nil
	}
	typical := route.typical()
	reference, ok := d.shortestTypical(name)
	longThreshold, shortThreshold := singleRouteLongThreshold, singleRouteLongThreshold/2
	if ok {
		longThreshold, shortThreshold = longRatio*reference, shortRatio*reference
	}
	switch {
	case !route.isReclassifiedLong && typical > longThreshold:
		route.isReclassifiedLong = true
		return []Action{Reclassify{Route: name, Class: class.Long, Typical: typical}}
	case route.isReclassifiedLong && typical < shortThreshold:
		route.isReclassifiedLong = false
		return []Action{Reclassify{Route: name, Class: class.Short, Typical: typical}}
	default:
		return nil
	}
}

// shortestTypical returns the shortest typical duration of the short routes other than excluded. It returns false when none
// of them has enough samples.
func (d *durationStats) shortestTypical(excluded string) (time.Duration, bool) {
	var shortest time.Duration
	found := false
	for name, route := range d.routes {
		if name == excluded || route.declaredClass != class.Short || route.isReclassifiedLong || route.samples < minSamples {
			continue
		}
		if typical := route.typical(); !found || typical < shortest {
			shortest, found = typical, true
		}
	}
	return shortest, found
}
