package crest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// drawnRequests is the number of requests of a drawn deployment, unless it is played for shortestDrawn or longestDrawn.
	drawnRequests = 3000
	shortestDrawn = 3 * time.Second
	longestDrawn  = 10 * time.Minute
	// mostPerSecond bounds the rate of requests, so that a play stays short.
	mostPerSecond = 3000
)

// Drawn returns a deployment that is drawn from a seed: its sizes, times, load and what happens in it.
func Drawn(seed uint64) Profile {
	random := rand.New(rand.NewPCG(seed, 3))
	// between draws a value whose logarithm is uniform.
	between := func(low, high float64) float64 { return low * math.Pow(high/low, random.Float64()) }
	timeBetween := func(low, high time.Duration) time.Duration {
		return time.Duration(between(float64(low), float64(high)))
	}
	p := Profile{
		Zones: 1 + random.IntN(5), Targets: int(between(2, 200)), Slots: int(between(1, 33)),
		ColdFactor: between(1, 4), CallerDelay: timeBetween(500*time.Microsecond, 20*time.Millisecond),
		NodeDelay: timeBetween(200*time.Microsecond, 3*time.Millisecond),
	}
	p.Balancers = p.Zones + random.IntN(2*p.Zones)
	work := timeBetween(time.Millisecond, 5*time.Second)
	load := between(0.3, 1.5)
	rate := func() float64 { return load * float64(p.Targets*p.Slots) / work.Seconds() }
	for rate() > mostPerSecond {
		if p.Targets > 2 {
			p.Targets = max(2, p.Targets*3/4)
		} else if p.Slots--; p.Slots == 0 {
			p.Slots, work = 1, 2*work
		}
	}
	p.Backlog = int(float64(p.Slots) * between(2, 8))
	p.Length = min(max(time.Duration(drawnRequests/rate()*float64(time.Second)), shortestDrawn), longestDrawn)
	p.ColdFor = timeBetween(p.Length/100+1, p.Length/4+2)
	shares := []float64{0.7, 0.3}
	for i, share := range shares {
		c := Class{
			Name: fmt.Sprint("class ", i), PerSecond: share * rate(), Work: timeBetween(work/2+1, 2*work), Spread: between(0.1, 0.8),
			Objective: timeBetween(50*time.Millisecond, 10*time.Second), Worth: between(0.5, 2), Priority: uint8(random.IntN(3)),
			Retries: random.IntN(3), IsIdempotent: random.IntN(2) == 0,
		}
		c.Deadline = min(max(timeBetween(c.Objective, 20*c.Objective), 300*time.Millisecond), time.Minute)
		c.Deadline = max(c.Deadline, c.Objective)
		c.Late = c.Worth * random.Float64()
		if random.IntN(2) == 0 {
			c.Users = 1 + int(c.PerSecond)
		}
		p.Classes = append(p.Classes, c)
	}
	f := Fault{
		Kind: kinds[random.IntN(len(kinds))], At: p.Length / 4, For: timeBetween(p.Length/50+1, p.Length/3+2),
		Share: random.Float64() / 2, Factor: between(1, 6),
	}
	p.Faults = []Fault{f}
	p.Pattern = fmt.Sprintf("drawn %d: %d targets, %d slots, runs of %s, %s", seed, p.Targets, p.Slots, work.Round(time.Millisecond), f.Kind)
	return p
}
