package crest

import (
	"math"
	"math/rand/v2"
	"time"

	"gentianswitch/internal/opaque/admission"
	"gentianswitch/internal/opaque/flow"
)

// dataCopies are the ages of a packet with data at which its caller sends it again.
var dataCopies = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond}

const (
	// openingLimit is the age at which a caller gives a flow up that has not opened.
	openingLimit = 1400 * time.Millisecond
	// A caller asks again after a pause between these.
	shortestPause = 15 * time.Millisecond
	longestPause  = 95 * time.Millisecond
)

// request is what a caller wants, whatever the policy.
type request struct {
	class *Class
	index int
	born  time.Duration
	zone  int
	// work is the time of its run in a warm target, pauses are those before its next tries.
	work   time.Duration
	pauses [8]time.Duration
	// user is the caller that keeps a flow open, or -1.
	user int

	isDone, isSpent bool
	answered        time.Duration
}

// isOver reports whether the caller asks no more.
func (r *request) isOver() bool { return r.isDone || r.isSpent }

// credit returns what the answer is worth.
func (r *request) credit() float64 {
	switch {
	case !r.isDone || r.answered > r.born+r.class.Deadline:
		return 0
	case r.answered > r.born+r.class.Objective:
		return r.class.Late
	default:
		return r.class.Worth
	}
}

// drawRequests returns the requests of a play.
func drawRequests(p Profile, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []*request
	for i := range p.Classes {
		c := &p.Classes[i]
		for at := time.Duration(0); ; {
			rate := c.PerSecond * burstFactor(p, c, at)
			if rate <= 0 {
				break
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= p.Length {
				break
			}
			r := &request{class: c, index: i, born: at, zone: random.IntN(p.Zones), user: -1}
			if isShifted(p, at, random.Float64()) {
				r.zone = 0
			}
			// The mean of a log-normal variable is exp(mu + sigma^2/2).
			r.work = time.Duration(float64(c.Work) * math.Exp(c.Spread*random.NormFloat64()-c.Spread*c.Spread/2))
			if c.Users > 0 {
				r.user = random.IntN(c.Users)
			}
			for k := range r.pauses {
				r.pauses[k] = shortestPause + time.Duration(random.Float64()*float64(longestPause-shortestPause))
			}
			all = append(all, r)
		}
	}
	return all
}

func burstFactor(p Profile, c *Class, at time.Duration) float64 {
	factor := 1.0
	for _, f := range p.Faults {
		if f.Kind == Burst && at >= f.At && at < f.At+f.For && (f.Class == "" || f.Class == c.Name) {
			factor *= f.Factor
		}
	}
	return factor
}

func isShifted(p Profile, at time.Duration, drawn float64) bool {
	for _, f := range p.Faults {
		if f.Kind == Shift && at >= f.At && at < f.At+f.For && drawn < f.Share {
			return true
		}
	}
	return false
}

// users holds the flows that callers keep open.
type users struct {
	world *world
	flows [][]*kept
}

// kept is a flow that a caller keeps open, or none while id is empty.
type kept struct {
	id     flow.ID
	sent   uint32
	isBusy bool
}

func newUsers(w *world, classes []Class) *users {
	u := &users{world: w, flows: make([][]*kept, len(classes))}
	for i := range classes {
		for range classes[i].Users {
			u.flows[i] = append(u.flows[i], &kept{})
		}
	}
	return u
}

func (u *users) ask(r *request) {
	a := &attempt{world: u.world, request: r}
	if r.user >= 0 && !u.flows[r.index][r.user].isBusy {
		a.kept = u.flows[r.index][r.user]
		a.kept.isBusy = true
	}
	u.world.at(r.born+r.class.Deadline, a.giveUp)
	a.begin()
}

// attempt is a request with its tries, one after the other.
type attempt struct {
	world   *world
	request *request
	kept    *kept
	id      flow.ID
	tries   int
	// isOpened is set in a try whose flow has opened, hasArrived once the target has the request of this try.
	isOpened, hasArrived bool
	sequence             uint32
}

// begin starts a try.
func (a *attempt) begin() {
	if a.request.isOver() {
		return
	}
	a.tries++
	a.isOpened, a.hasArrived = false, false
	if a.kept != nil && a.kept.id != (flow.ID{}) {
		a.id, a.sequence, a.isOpened = a.kept.id, a.kept.sent, true
		a.world.callers[a.id] = a
		a.sendData()
		return
	}
	a.id, a.sequence = a.world.newFlow(a.request), 1
	a.world.callers[a.id] = a
	try := a.tries
	for copies, age := range admission.OpeningSendTimes {
		a.world.after(age, func() {
			if a.isCurrent(try) && !a.isOpened {
				a.send(flow.Packet{Opens: true, Retransmissions: uint32(copies)})
			}
		})
	}
	a.world.after(openingLimit, func() {
		if a.isCurrent(try) && !a.isOpened {
			a.fail(true)
		}
	})
}

// isCurrent reports whether a try goes on.
func (a *attempt) isCurrent(try int) bool {
	return a.tries == try && !a.request.isOver()
}

// newFlow returns a flow from a port of its own.
func (w *world) newFlow(r *request) flow.ID {
	ip := [4]byte{100, 64, byte(r.zone), byte(w.random.IntN(32))}
	w.ports[ip]++
	return flow.ID{
		Caller:  flow.Endpoint{IP: ip, Port: 1000 + w.ports[ip]},
		Address: addressOf(r.index),
	}
}

func addressOf(class int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: uint16(8000 + class)}
}

// requestBytes is the size of the packet that asks.
const requestBytes = 100

func (a *attempt) sendData() {
	try, sequence := a.tries, a.sequence
	p := flow.Packet{Sequence: sequence, Payload: requestBytes}
	a.send(p)
	for _, age := range dataCopies {
		a.world.after(age, func() {
			if a.isCurrent(try) && !a.hasArrived {
				a.send(p)
			}
		})
	}
	a.sequence += requestBytes
}

// send gives a packet to a balancer of the caller's availability zone.
func (a *attempt) send(p flow.Packet) {
	p.Source, p.Destination = a.id.Caller, a.id.Address
	n := a.world.route(a.request.zone)
	a.world.after(a.world.profile.CallerDelay, func() { n.fromCaller(&p) })
}

// accepted takes the target's acceptance.
func (a *attempt) accepted() {
	if a.isOpened || a.request.isOver() {
		return
	}
	a.isOpened = true
	if a.kept != nil {
		a.kept.id = a.id
	}
	a.sendData()
	a.keepSent()
}

func (a *attempt) keepSent() {
	if a.kept != nil {
		a.kept.sent = a.sequence
	}
}

// answered takes the target's answer.
func (a *attempt) answered(isSuccess, hasRun bool) {
	if a.request.isOver() {
		return
	}
	if !isSuccess {
		a.fail(!hasRun)
		return
	}
	a.request.isDone, a.request.answered = true, a.world.now
	a.keepSent()
	a.end()
}

// reset takes a reset of the flow.
func (a *attempt) reset() {
	if a.kept != nil && a.kept.id == a.id {
		a.kept.id = flow.ID{}
	}
	if a.request.isOver() {
		return
	}
	a.fail(!a.isOpened)
}

// fail ends a try, and begins the next when the caller may ask again.
func (a *attempt) fail(hasNotRun bool) {
	delete(a.world.callers, a.id)
	if a.kept != nil {
		a.kept.id = flow.ID{}
	}
	if a.tries > a.request.class.Retries || !hasNotRun && !a.request.class.IsIdempotent {
		a.request.isSpent = true
		a.end()
		return
	}
	a.world.after(a.request.pauses[a.tries%len(a.request.pauses)], a.begin)
}

// giveUp ends the request at its deadline.
func (a *attempt) giveUp() {
	if a.request.isOver() {
		return
	}
	a.request.isSpent = true
	if a.kept != nil {
		a.kept.id = flow.ID{}
	}
	a.end()
}

func (a *attempt) end() {
	if a.kept != nil {
		a.kept.isBusy = false
	}
}
