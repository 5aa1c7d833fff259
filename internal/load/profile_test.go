package load

import (
	"testing"
	"time"

	"gentianswitch/internal/class"
)

func peakProfile(seed uint64) Profile {
	stream := func(c class.Class) Stream { return NewStream(c, "127.0.0.1:1", "any") }
	return PeakMix(stream(class.Feed), stream(class.Short), stream(class.Long), seed, 30*time.Second)
}

func TestScheduleIsTheSameForTheSameSeed(t *testing.T) {
	first, second, other := peakProfile(1), peakProfile(1), peakProfile(2)
	a, b, c := first.schedule(), second.schedule(), other.schedule()
	if len(a) != len(b) {
		t.Fatalf("%d and %d arrivals for the same seed", len(a), len(b))
	}
	for i := range a {
		if a[i].at != b[i].at || a[i].work != b[i].work || a[i].id(1) != b[i].id(1) {
			t.Fatalf("arrival %d differs for the same seed", i)
		}
	}
	if len(a) == len(c) && a[0].at == c[0].at {
		t.Error("another seed gives the same schedule")
	}
}

func TestSurgeMultipliesArrivals(t *testing.T) {
	p := peakProfile(1)
	inSurge, before := 0, 0
	for _, a := range p.schedule() {
		if a.stream.Class != class.Short {
			continue
		}
		switch {
		case a.at >= 10*time.Second && a.at < 13*time.Second:
			inSurge++
		case a.at >= 5*time.Second && a.at < 8*time.Second:
			before++
		}
	}
	if ratio := float64(inSurge) / float64(before); ratio < 8 || ratio > 12 {
		t.Errorf("%d arrivals in the surge and %d before, ratio %.1f, expected about 10", inSurge, before, ratio)
	}
}
