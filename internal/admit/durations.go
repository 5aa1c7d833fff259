package admit

import (
	"math"
	"time"

	"gentianswitch/internal/class"
)

// Initial means, until the first request of the class has ended.
const (
	initialShortMean = 20 * time.Millisecond
	initialLongMean  = time.Second
)

const (
	// meanWeight is the weight of a new duration in the mean of its class.
	meanWeight = 0.1
	// typicalWeight is the weight of a new duration in the geometric mean of its route.
	typicalWeight = 0.2
	// minSamples is the number of durations before a route is judged.
	minSamples = 5
	// longRatio is how many times the typical duration of the other short routes makes a route long.
	longRatio = 8
	// shortRatio makes it short again. The gap to longRatio is the hysteresis.
	shortRatio = 4
	// longAlone makes the only short route of a target long.
	longAlone = time.Second
	// maxRoutes bounds the number of routes measured; the routes beyond it keep their declared class.
	maxRoutes = 256
)

// durations measures how long requests take, by class and by route.
type durations struct {
	short  mean
	long   mean
	routes map[string]*routeDurations
}

type mean struct {
	value   time.Duration
	samples int
}

// routeDurations is the measurement of one route. The geometric mean is robust against a few outliers.
type routeDurations struct {
	declared class.Class
	logMean  float64
	samples  int
	isLong   bool
}

func newDurations() *durations {
	return &durations{
		short:  mean{value: initialShortMean},
		long:   mean{value: initialLongMean},
		routes: make(map[string]*routeDurations),
	}
}

func (m *mean) observe(d time.Duration) {
	m.samples++
	if m.samples == 1 {
		m.value = d
		return
	}
	m.value += time.Duration(meanWeight * float64(d-m.value))
}

func (d *durations) mean(c class.Class) time.Duration {
	if c == class.Long {
		return d.long.value
	}
	return d.short.value
}

// classOf returns the class by which a request is admitted.
func (d *durations) classOf(r Request) class.Class {
	route := d.routes[r.Route]
	if r.Class == class.Short && route != nil && route.isLong {
		return class.Long
	}
	return r.Class
}

// observe records the duration of a request that has run.
func (d *durations) observe(r running, took time.Duration) []Action {
	if r.class == class.Long {
		d.long.observe(took)
	} else {
		d.short.observe(took)
	}
	route := d.routes[r.request.Route]
	if route == nil {
		if len(d.routes) >= maxRoutes {
			return nil
		}
		route = &routeDurations{declared: r.request.Class}
		d.routes[r.request.Route] = route
	}
	route.observe(took)
	return d.judge(r.request.Route, route)
}

func (r *routeDurations) observe(took time.Duration) {
	value := math.Log(float64(max(took, time.Microsecond)))
	r.samples++
	if r.samples == 1 {
		r.logMean = value
		return
	}
	r.logMean += typicalWeight * (value - r.logMean)
}

func (r *routeDurations) typical() time.Duration {
	return time.Duration(math.Exp(r.logMean))
}

// judge reclassifies a short route whose durations are those of long work.
func (d *durations) judge(name string, route *routeDurations) []Action {
	if route.declared != class.Short || route.samples < minSamples {
		return nil
	}
	typical := route.typical()
	reference, ok := d.reference(name)
	limitLong, limitShort := longAlone, longAlone/2
	if ok {
		limitLong, limitShort = longRatio*reference, shortRatio*reference
	}
	switch {
	case !route.isLong && typical > limitLong:
		route.isLong = true
		return []Action{Reclassify{Route: name, Class: class.Long, Typical: typical}}
	case route.isLong && typical < limitShort:
		route.isLong = false
		return []Action{Reclassify{Route: name, Class: class.Short, Typical: typical}}
	default:
		return nil
	}
}

// reference returns the shortest typical duration of the other short routes that are measured.
func (d *durations) reference(except string) (time.Duration, bool) {
	var shortest time.Duration
	found := false
	for name, route := range d.routes {
		if name == except || route.declared != class.Short || route.isLong || route.samples < minSamples {
			continue
		}
		if typical := route.typical(); !found || typical < shortest {
			shortest, found = typical, true
		}
	}
	return shortest, found
}
