// Package load implements an open-loop load generator: the intended start of every request is drawn from a seed before
// the run, and latency counts from that start. A slow answer therefore delays no later request and hides no latency.
package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gentianswitch/internal/class"
)

// Stream is the traffic of one class on one route.
type Stream struct {
	// Name is the prefix of the stream's request IDs.
	Name  string
	Class class.Class
	// Address is the ip:port of the route, Service the name that its answers must carry.
	Address string
	Service string
	// Rate is the mean number of requests a second; arrivals are a Poisson process.
	Rate float64
	// Burst is the number of requests that start within BurstWindow after BurstAt, in addition to those of Rate.
	Burst       int
	BurstAt     time.Duration
	BurstWindow time.Duration
	// WorkMin and WorkMax bound the service time of a request at the target, which is uniformly distributed.
	WorkMin time.Duration
	WorkMax time.Duration
	// BodyBytes is the size of each request body.
	BodyBytes int
	// Events and Interval are the number of events of a feed and the time between them.
	Events   int
	Interval time.Duration
	// Callers is the number of callers, each with one flow, among which the requests are spread.
	// Zero gives each request a flow of its own.
	Callers int
	// Timeout is how long a caller waits for an answer. For a feed, the length of the feed is added. Zero stands for 20 s.
	Timeout time.Duration
	// Deadline is the deadline that callers send with each request; zero sends none.
	Deadline time.Duration
}

// Surge multiplies the rates of all streams from At for Length.
type Surge struct {
	At     time.Duration
	Length time.Duration
	Factor float64
}

// Profile describes the load of a run.
type Profile struct {
	Name string
	Seed uint64
	// Length is the time during which requests start. The run ends when the last request has ended.
	Length time.Duration
	// Authority is the PEM file with the certificate authority that callers trust.
	Authority string
	Streams   []Stream
	Surges    []Surge
}

// arrival is one request of the schedule: its intended start, its number in the stream and its service time.
type arrival struct {
	at     time.Duration
	stream *Stream
	number int
	work   time.Duration
}

func (a arrival) id(seed uint64) string {
	return fmt.Sprintf("%s-%d-%d", a.stream.Name, seed, a.number)
}

// schedule draws every request of the run, in the order of the intended starts.
func (p *Profile) schedule() []arrival {
	var all []arrival
	for i := range p.Streams {
		all = append(all, p.arrivalsOf(i)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func (p *Profile) arrivalsOf(index int) []arrival {
	s := &p.Streams[index]
	random := rand.New(rand.NewPCG(p.Seed, uint64(index)))
	var list []arrival
	appendArrival := func(at time.Duration) {
		work := s.WorkMin + time.Duration(random.Float64()*float64(s.WorkMax-s.WorkMin))
		list = append(list, arrival{at: at, stream: s, number: len(list), work: work})
	}
	for range s.Burst {
		appendArrival(s.BurstAt + time.Duration(random.Float64()*float64(s.BurstWindow)))
	}
	if s.Rate <= 0 {
		return list
	}
	// Arrivals are drawn at the highest rate and thinned to the rate at their time.
	highest := p.highestFactor()
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (s.Rate * highest) * float64(time.Second))
		if at >= p.Length {
			return list
		}
		if random.Float64()*highest < p.factor(at) {
			appendArrival(at)
		}
	}
}

func (p *Profile) highestFactor() float64 {
	highest := 1.0
	for _, s := range p.Surges {
		highest = max(highest, s.Factor)
	}
	return highest
}

// factor returns the factor of the surge at a time, or 1 outside of surges. Of overlapping surges, the last in the list counts.
func (p *Profile) factor(at time.Duration) float64 {
	factor := 1.0
	for _, s := range p.Surges {
		if at >= s.At && at < s.At+s.Length {
			factor = s.Factor
		}
	}
	return factor
}
