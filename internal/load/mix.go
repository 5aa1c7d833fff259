package load

import (
	"time"

	"gentianswitch/internal/class"
)

// Parameters of the steady mix; rates are in requests a second. Its load is far below the capacity of the predefined
// deployments.
const (
	feedCount    = 60
	feedInterval = 200 * time.Millisecond
	shortRate    = 40
	shortBytes   = 200
	shortWorkMin = 10 * time.Millisecond
	shortWorkMax = 30 * time.Millisecond
	longRate     = 2
	longBytes    = 64 << 10
	longWorkMin  = 400 * time.Millisecond
	longWorkMax  = 1200 * time.Millisecond
)

// Parameters of the load peak. peakBurst is the number of short requests in the first second, in addition to the steady mix.
// surgeFactor multiplies the rates for surgeLength.
const (
	peakBurst   = 200
	surgeFactor = 10
	surgeLength = 3 * time.Second
)

// NewStream returns a stream on the route at address, where answers must carry the name of the service. It sends nothing
// until its rate or burst is set.
func NewStream(c class.Class, address, service string) Stream {
	return Stream{Name: c.String(), Class: c, Address: address, Service: service}
}

// SteadyMix returns a profile of feeds that stay open, short requests, and uploads that run about 40 times longer. The
// streams determine the routes.
func SteadyMix(feed, short, long Stream, seed uint64, length time.Duration) Profile {
	feed.Burst, feed.BurstWindow = feedCount, time.Second
	feed.Events, feed.Interval = int(length/feedInterval), feedInterval
	short.Rate, short.BodyBytes = shortRate, shortBytes
	short.WorkMin, short.WorkMax = shortWorkMin, shortWorkMax
	long.Rate, long.BodyBytes = longRate, longBytes
	long.WorkMin, long.WorkMax = longWorkMin, longWorkMax
	return Profile{Name: "steady", Seed: seed, Length: length, Streams: []Stream{feed, short, long}}
}

// PeakMix returns the steady mix with two load peaks: in the first second all feeds open and a burst of short requests
// starts, and after a third of the length the rates are ten times as high for 3 s.
func PeakMix(feed, short, long Stream, seed uint64, length time.Duration) Profile {
	short.Burst, short.BurstWindow = peakBurst, time.Second
	p := SteadyMix(feed, short, long, seed, length)
	p.Name = "crest"
	p.Surges = []Surge{{At: length / 3, Length: surgeLength, Factor: surgeFactor}}
	return p
}
