package crest

import (
	"math"
	"math/rand/v2"
	"time"

	"gentianswitch/internal/opaque/admission"
	"gentianswitch/internal/opaque/flow"
)

// dataRetransmitTimes are the times after the first transmission of a data packet at which its caller retransmits it.
var dataRetransmitTimes = [...]time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond,
}

const (
	// openTimeout is how long a caller waits for a new flow to be accepted before the attempt fails.
	openTimeout = 1400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the random delay before a caller's next attempt.
	minRetryDelay = 15 * time.Millisecond
	maxRetryDelay = 95 * time.Millisecond
)

// request is one request of a caller with its outcome. All but the outcome is drawn in advance, independently of the policy.
type request struct {
	class      *Class
	classIndex int
	arrivedAt  time.Duration
	zone       int
	// serviceTime is the time of its run in a warm target. The delay after attempt n, counted from 1, is retryDelays[n%8].
	serviceTime time.Duration
	retryDelays [8]time.Duration
	// callerIndex is the index of its persistent caller within the class, or -1 when the request opens a flow of its own.
	callerIndex int

	isAnswered, hasFailed bool
	answeredAt            time.Duration
}

// isFinished reports whether the request is answered or has failed, so that its caller makes no further attempt.
func (r *request) isFinished() bool { return r.isAnswered || r.hasFailed }

// credit returns the credit of the answer, or 0 when none came within the deadline.
func (r *request) credit() float64 {
	switch {
	case !r.isAnswered || r.answeredAt > r.arrivedAt+r.class.Deadline:
		return 0
	case r.answeredAt > r.arrivedAt+r.class.Objective:
		return r.class.LateCredit
	default:
		return r.class.OnTimeCredit
	}
}

// generateArrivals draws all requests of a simulation from a seed.
func generateArrivals(p Profile, seed uint64) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []*request
	for i := range p.Classes {
		c := &p.Classes[i]
		for at := time.Duration(0); ; {
			rate := c.PerSecond * rateFactor(p, c, at)
			if rate <= 0 {
				break
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= p.Length {
				break
			}
			r := &request{class: c, classIndex: i, arrivedAt: at, zone: random.IntN(p.Zones), callerIndex: -1}
			if isShifted(p, at, random.Float64()) {
				r.zone = 0
			}
			// The mean of a log-normal variable is exp(mu + sigma^2/2).
			r.serviceTime = time.Duration(float64(c.MeanServiceTime) * math.Exp(c.LogSigma*random.NormFloat64()-c.LogSigma*c.LogSigma/2))
			if c.PersistentCallers > 0 {
				r.callerIndex = random.IntN(c.PersistentCallers)
			}
			for k := range r.retryDelays {
				r.retryDelays[k] = minRetryDelay + time.Duration(random.Float64()*float64(maxRetryDelay-minRetryDelay))
			}
			all = append(all, r)
		}
	}
	return all
}

// rateFactor returns the factor by which bursts multiply the arrival rate of a class at a given time.
func rateFactor(p Profile, c *Class, at time.Duration) float64 {
	factor := 1.0
	for _, f := range p.Faults {
		if f.Kind == Burst && at >= f.At && at < f.At+f.For && (f.Class == "" || f.Class == c.Name) {
			factor *= f.Factor
		}
	}
	return factor
}

// isShifted reports whether a request that arrives at a given time moves to the first availability zone. The argument uniform
// is a random number from 0 to 1.
func isShifted(p Profile, at time.Duration, uniform float64) bool {
	for _, f := range p.Faults {
		if f.Kind == Shift && at >= f.At && at < f.At+f.For && uniform < f.Share {
			return true
		}
	}
	return false
}

// callerPool holds the flows of the persistent callers, by class and caller.
type callerPool struct {
	sim   *simulation
	flows [][]*persistentFlow
}

// persistentFlow is the flow that a persistent caller keeps open; it has none while id is empty.
type persistentFlow struct {
	id           flow.ID
	nextSequence uint32
	isBusy       bool
}

func newCallerPool(s *simulation, classes []Class) *callerPool {
	p := &callerPool{sim: s, flows: make([][]*persistentFlow, len(classes))}
	for i := range classes {
		for range classes[i].PersistentCallers {
			p.flows[i] = append(p.flows[i], &persistentFlow{})
		}
	}
	return p
}

// startRequest sends a request. While its persistent caller is busy with another one, the request opens a flow of its own.
func (p *callerPool) startRequest(r *request) {
	c := &caller{sim: p.sim, request: r}
	if r.callerIndex >= 0 && !p.flows[r.classIndex][r.callerIndex].isBusy {
		c.persistentFlow = p.flows[r.classIndex][r.callerIndex]
		c.persistentFlow.isBusy = true
	}
	p.sim.scheduleAt(r.arrivedAt+r.class.Deadline, c.handleDeadline)
	c.startAttempt()
}

// caller sends one request, in one attempt after the other until the request is finished.
type caller struct {
	sim            *simulation
	request        *request
	persistentFlow *persistentFlow
	id             flow.ID
	attempts       int
	// isOpened is set once the flow of the present attempt is accepted, hasArrived once its request has reached a target.
	isOpened, hasArrived bool
	// sequence is the sequence number of the next data packet.
	sequence uint32
}

// startAttempt sends the request on the persistent flow, or opens a new flow for it.
func (c *caller) startAttempt() {
	if c.request.isFinished() {
		return
	}
	c.attempts++
	c.isOpened, c.hasArrived = false, false
	if c.persistentFlow != nil && c.persistentFlow.id != (flow.ID{}) {
		c.id, c.sequence, c.isOpened = c.persistentFlow.id, c.persistentFlow.nextSequence, true
		c.sim.callers[c.id] = c
		c.sendData()
		return
	}
	c.id, c.sequence = c.sim.newFlowID(c.request), 1
	c.sim.callers[c.id] = c
	attempt := c.attempts
	for copies, age := range admission.OpeningSendTimes {
		c.sim.scheduleAfter(age, func() {
			if c.isCurrentAttempt(attempt) && !c.isOpened {
				c.send(flow.Packet{Opens: true, Retransmissions: uint32(copies)})
			}
		})
	}
	c.sim.scheduleAfter(openTimeout, func() {
		if c.isCurrentAttempt(attempt) && !c.isOpened {
			c.failAttempt(true)
		}
	})
}

// isCurrentAttempt reports whether an attempt is the latest one and the request is not finished.
func (c *caller) isCurrentAttempt(attempt int) bool {
	return c.attempts == attempt && !c.request.isFinished()
}

// newFlowID returns the ID of a new flow from an unused port of a random caller address in the request's zone.
func (s *simulation) newFlowID(r *request) flow.ID {
	ip := [4]byte{100, 64, byte(r.zone), byte(s.random.IntN(32))}
	s.lastPorts[ip]++
	return flow.ID{
		Caller:  flow.Endpoint{IP: ip, Port: 1000 + s.lastPorts[ip]},
		Address: routeAddress(r.classIndex),
	}
}

func routeAddress(class int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: uint16(8000 + class)}
}

// requestBytes is the payload of the data packet that carries a request or an answer, in bytes.
const requestBytes = 100

// sendData sends the request, and retransmits it until it reaches a target or the attempt ends.
func (c *caller) sendData() {
	attempt, sequence := c.attempts, c.sequence
	p := flow.Packet{Sequence: sequence, Payload: requestBytes}
	c.send(p)
	for _, age := range dataRetransmitTimes {
		c.sim.scheduleAfter(age, func() {
			if c.isCurrentAttempt(attempt) && !c.hasArrived {
				c.send(p)
			}
		})
	}
	c.sequence += requestBytes
}

// send sends a packet to a balancer of the caller's availability zone.
func (c *caller) send(p flow.Packet) {
	p.Source, p.Destination = c.id.Caller, c.id.Address
	b := c.sim.pickBalancer(c.request.zone)
	c.sim.scheduleAfter(c.sim.profile.CallerDelay, func() { b.handleCallerPacket(&p) })
}

// handleAccepted handles the target's acceptance of the flow by sending the request.
func (c *caller) handleAccepted() {
	if c.isOpened || c.request.isFinished() {
		return
	}
	c.isOpened = true
	if c.persistentFlow != nil {
		c.persistentFlow.id = c.id
	}
	c.sendData()
	c.saveSequence()
}

// saveSequence records the next sequence number in the persistent flow.
func (c *caller) saveSequence() {
	if c.persistentFlow != nil {
		c.persistentFlow.nextSequence = c.sequence
	}
}

// handleAnswer handles the target's answer. After a failure, hasRun says whether the request has run.
func (c *caller) handleAnswer(isSuccess, hasRun bool) {
	if c.request.isFinished() {
		return
	}
	if !isSuccess {
		c.failAttempt(!hasRun)
		return
	}
	c.request.isAnswered, c.request.answeredAt = true, c.sim.now
	c.saveSequence()
	c.releaseFlow()
}

// handleReset handles a reset of the flow. A reset before the flow was opened proves that the request has not run.
func (c *caller) handleReset() {
	if c.persistentFlow != nil && c.persistentFlow.id == c.id {
		c.persistentFlow.id = flow.ID{}
	}
	if c.request.isFinished() {
		return
	}
	c.failAttempt(!c.isOpened)
}

// failAttempt ends an attempt and schedules the next one when the caller may retry. hasNotRun is set when the request is known
// not to have run.
func (c *caller) failAttempt(hasNotRun bool) {
	delete(c.sim.callers, c.id)
	if c.persistentFlow != nil {
		c.persistentFlow.id = flow.ID{}
	}
	if c.attempts > c.request.class.Retries || !hasNotRun && !c.request.class.IsIdempotent {
		c.request.hasFailed = true
		c.releaseFlow()
		return
	}
	c.sim.scheduleAfter(c.request.retryDelays[c.attempts%len(c.request.retryDelays)], c.startAttempt)
}

// handleDeadline fails the request when it is not finished by its deadline. A persistent caller also gives up its flow and
// opens a new one for its next request.
func (c *caller) handleDeadline() {
	if c.request.isFinished() {
		return
	}
	c.request.hasFailed = true
	if c.persistentFlow != nil {
		c.persistentFlow.id = flow.ID{}
	}
	c.releaseFlow()
}

// releaseFlow makes the persistent flow available to the caller's next request.
func (c *caller) releaseFlow() {
	if c.persistentFlow != nil {
		c.persistentFlow.isBusy = false
	}
}
