package crest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// drawnRequests is the mean number of requests of a drawn profile, unless minDrawnLength or maxDrawnLength bounds its length.
	drawnRequests  = 3000
	minDrawnLength = 3 * time.Second
	maxDrawnLength = 10 * time.Minute
	// maxDrawnRate bounds the arrival rate in requests per second, so that a simulation stays short.
	maxDrawnRate = 3000
)

// Drawn returns a profile drawn at random from a seed: the sizes and times of the deployment, its offered load and one fault.
func Drawn(seed uint64) Profile {
	random := rand.New(rand.NewPCG(seed, 3))
	// logUniform draws a value whose logarithm is uniformly distributed.
	logUniform := func(low, high float64) float64 { return low * math.Pow(high/low, random.Float64()) }
	logUniformTime := func(low, high time.Duration) time.Duration {
		return time.Duration(logUniform(float64(low), float64(high)))
	}
	p := Profile{
		Zones: 1 + random.IntN(5), Targets: int(logUniform(2, 200)), Slots: int(logUniform(1, 33)),
		ColdFactor: logUniform(1, 4), CallerDelay: logUniformTime(500*time.Microsecond, 20*time.Millisecond),
		VMDelay: logUniformTime(200*time.Microsecond, 3*time.Millisecond),
	}
	p.Balancers = p.Zones + random.IntN(2*p.Zones)
	serviceTime := logUniformTime(time.Millisecond, 5*time.Second)
	utilization := logUniform(0.3, 1.5)
	// rate returns the arrival rate in requests per second that gives the utilization.
	rate := func() float64 { return utilization * float64(p.Targets*p.Slots) / serviceTime.Seconds() }
	// A deployment above the maximum rate gets fewer targets, then fewer slots, then a longer service time.
	for rate() > maxDrawnRate {
		if p.Targets > 2 {
			p.Targets = max(2, p.Targets*3/4)
		} else if p.Slots--; p.Slots == 0 {
			p.Slots, serviceTime = 1, 2*serviceTime
		}
	}
	p.Backlog = int(float64(p.Slots) * logUniform(2, 8))
	p.Length = min(max(time.Duration(drawnRequests/rate()*float64(time.Second)), minDrawnLength), maxDrawnLength)
	p.ColdDuration = logUniformTime(p.Length/100+1, p.Length/4+2)
	shares := []float64{0.7, 0.3}
	for i, share := range shares {
		c := Class{
			Name: fmt.Sprint("class ", i), PerSecond: share * rate(),
			MeanServiceTime: logUniformTime(serviceTime/2+1, 2*serviceTime), LogSigma: logUniform(0.1, 0.8),
			Objective: logUniformTime(50*time.Millisecond, 10*time.Second), OnTimeCredit: logUniform(0.5, 2),
			Priority: uint8(random.IntN(3)), Retries: random.IntN(3), IsIdempotent: random.IntN(2) == 0,
		}
		c.Deadline = min(max(logUniformTime(c.Objective, 20*c.Objective), 300*time.Millisecond), time.Minute)
		c.Deadline = max(c.Deadline, c.Objective)
		c.LateCredit = c.OnTimeCredit * random.Float64()
		if random.IntN(2) == 0 {
			c.PersistentCallers = 1 + int(c.PerSecond)
		}
		p.Classes = append(p.Classes, c)
	}
	f := Fault{
		Kind: faultKinds[random.IntN(len(faultKinds))], At: p.Length / 4, For: logUniformTime(p.Length/50+1, p.Length/3+2),
		Share: random.Float64() / 2, Factor: logUniform(1, 6),
	}
	p.Faults = []Fault{f}
	p.Pattern = fmt.Sprintf("drawn %d: %d targets, %d slots, runs of %s, %s",
		seed, p.Targets, p.Slots, serviceTime.Round(time.Millisecond), f.Kind)
	return p
}
