package directory

import (
	"time"

	"gentianswitch/internal/opaque/hop"
)

// Times of the reachability check.
const (
	// pingInterval is the time between two pings of an agent that answers.
	pingInterval = time.Second
	// usedFor is the time since a packet was sent to an agent for which it is pinged.
	usedFor = 2 * pingInterval
	// meetingPoints is the number of agents that the balancers of a group ping whether they have packets for them or not.
	// They pass on what the balancers report, also when two of them are out of reach.
	meetingPoints = 3
	// meetingInterval is the time between two pings of these.
	meetingInterval = pingInterval / 2
	// rarestPing bounds the time between two pings of an agent that has been dead for long.
	rarestPing = 5 * time.Second
	// pongTimeout bounds the round trip on a link that is not congested.
	pongTimeout = 150 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = pongTimeout / 2
	// suspectAfter is the number of unanswered pings in a row that make an agent suspect.
	suspectAfter = 2
	// deadAfter is the time without an answer after which an agent gets no new flows. An answer to a ping that is older
	// tells nothing.
	deadAfter = 2 * time.Second
	// deadMisses is the number of unanswered pings in a row that an agent needs besides to be dead.
	deadMisses = 6
	// goneAfter is the time without an answer after which an agent no longer ends the walks of open flows, when the path of
	// the others' answers is good. It is above the pauses of a VM that stands still and the outages of a link that callers
	// wait for.
	goneAfter = 4 * time.Second
	// After a common start, when most of the agents that answer have run for less than commonStart, VMs have lost power
	// together. Then an agent that has not answered at all is gone after unheardGoneAfter.
	commonStart      = 10 * time.Second
	unheardGoneAfter = 2 * time.Second
	commonStartShare = 2.0 / 3
	// goneMisses is the number of unanswered pings in a row that an agent needs besides. At goodAnswerRate a living one leaves
	// as many unanswered once in a billion times.
	goneMisses = 9
	// goodAnswerRate is the share of the recent pings of agents that answer which has been answered in time, from which on the
	// path is good. answerRateSamples is the number of pings over which it is averaged.
	goodAnswerRate    = 0.9
	answerRateSamples = 20
	// maxSilentShare is the share of the agents asked up to which those that do not answer may be gone: where more are silent,
	// the path itself is in doubt.
	maxSilentShare = 1.0 / 3
	// heardWithin is the time since its last answer for which an agent counts as answering.
	heardWithin = 2 * pingInterval
	// sequenceUnit is the unit of ping sequences, which tell when a ping was sent. They repeat after 655 s.
	sequenceUnit = 10 * time.Millisecond
)

// Reachability is what a balancer believes of an agent.
type Reachability uint8

// The states of an agent.
const (
	// Reachable agents answer, or have not been asked long enough.
	Reachable Reachability = iota
	// Suspect agents have left pings unanswered while others answered later ones. They are tried last.
	Suspect
	// Dead agents have not answered for so long that they get no new flows. The flows that they hold may live.
	Dead
	// Gone agents have not answered for longer than callers wait, while the answers of others came in time. No flow is
	// looked for there.
	Gone
)

// String returns the name that logs use.
func (r Reachability) String() string {
	return [...]string{"reachable", "suspect", "dead", "gone"}[r]
}

// reach is the state of the check of one agent.
type reach struct {
	nextPing time.Time
	// askedAt is when the latest ping was sent; isAsked is set until it is answered or counted as missed.
	askedAt   time.Time
	isAsked   bool
	missed    int
	firstMiss time.Time
	usedAt    time.Time
	// startedAt is when the agent has started, as far as it has told.
	startedAt time.Time
	// isMeetingPoint is set in meetingPoints of the agents that answer.
	isMeetingPoint bool
}

// isPinged reports whether the balancer wants to know whether the agent answers.
func (t *Target) isPinged(now time.Time) bool {
	return t.reach.isMeetingPoint || t.reach.missed > 0 || t.State != Reachable || now.Sub(t.reach.usedAt) < usedFor
}

// interval returns the time between two pings that are answered.
func (r *reach) interval() time.Duration {
	if r.isMeetingPoint {
		return meetingInterval
	}
	return pingInterval
}

// Ping is a ping that has to be sent.
type Ping struct {
	Agent    hop.IP
	Sequence uint16
	// IsToHub is set when the balancer's group meets at the agent.
	IsToHub bool
}

// RecordUse notes that a packet is sent to an agent, which passes it on to the next candidates when it has to. One of these that
// does not answer would swallow the packet, so they are asked as well.
func (d *Directory) RecordUse(now time.Time, agent hop.IP, next ...hop.IP) {
	d.use(now, agent)
	for _, candidate := range next {
		d.use(now, candidate)
	}
}

func (d *Directory) use(now time.Time, agent hop.IP) {
	if t := d.targets[agent]; t != nil {
		t.reach.usedAt = now
	}
}

// RequestPing asks an agent at once, since a packet sent to it seems to have been lost.
func (d *Directory) RequestPing(now time.Time, agent hop.IP) {
	if t := d.targets[agent]; t != nil && !t.reach.isAsked {
		t.reach.nextPing, t.reach.usedAt = now, now
	}
}

// HandlePong takes the answer of an agent. A late one counts too: the agent lived when it got the ping.
func (d *Directory) HandlePong(now time.Time, agent hop.IP, sequence uint16) (Change, bool) {
	t := d.targets[agent]
	if t == nil {
		return Change{}, false
	}
	sentAt := d.sentAt(now, sequence)
	if now.Sub(sentAt) > deadAfter {
		return Change{}, false
	}
	t.AnsweredAt = now
	if sentAt.After(d.horizon) {
		d.horizon = sentAt
	}
	r := &t.reach
	if t.State == Reachable && now.Sub(sentAt) < pongTimeout {
		d.recordAnswer(1)
	}
	r.missed = 0
	if r.isAsked && !sentAt.Before(r.askedAt) {
		r.isAsked = false
	}
	if !r.isAsked {
		r.nextPing = now.Add(r.interval())
	}
	if t.State == Reachable {
		return Change{}, false
	}
	t.State = Reachable
	d.compile()
	return Change{Target: *t, Reason: "pong"}, true
}

// Tick counts pings that were not answered in time and returns the pings to send.
func (d *Directory) Tick(now time.Time) (pings []Ping, changes []Change) {
	if d.isPathGood = d.judgePath(now); !d.isPathGood {
		changes = d.doubtGone()
	}
	hasCalm, hasDoubtful := false, false
	for _, t := range d.targets {
		if change, ok := d.checkAnswer(now, t); ok {
			changes = append(changes, change)
		}
		if t.reach.isAsked || now.Before(t.reach.nextPing) || !t.isPinged(now) {
			continue
		}
		pings = append(pings, d.ask(now, t))
		hasCalm = hasCalm || t.reach.missed == 0
		hasDoubtful = hasDoubtful || t.reach.missed > 0
	}
	if hasDoubtful && !hasCalm {
		pings = d.askCalm(now, pings)
	}
	return pings, changes
}

// ask returns a ping of an agent.
func (d *Directory) ask(now time.Time, t *Target) Ping {
	sequence := d.sequence(now)
	t.reach.isAsked, t.reach.askedAt = true, d.sentAt(now, sequence)
	return Ping{Agent: t.Agent, Sequence: sequence, IsToHub: t.reach.isMeetingPoint}
}

// askCalm adds a ping of an agent that answers: its answer tells that a missing one is not due to the path.
func (d *Directory) askCalm(now time.Time, pings []Ping) []Ping {
	for _, t := range d.targets {
		if t.reach.isMeetingPoint && t.reach.missed == 0 && !t.reach.isAsked {
			return append(pings, d.ask(now, t))
		}
	}
	return pings
}

// checkAnswer counts a ping as missed when its answer is late and an agent has answered one that was sent no earlier. Else
// all answers are late or lost: the balancer is cut off, its link is full, or it has stood still.
func (d *Directory) checkAnswer(now time.Time, t *Target) (Change, bool) {
	r := &t.reach
	waited := now.Sub(r.askedAt)
	switch {
	case !r.isAsked || waited < pongTimeout:
		return Change{}, false
	case !d.horizon.Before(r.askedAt):
		return d.miss(now, t)
	case waited >= pingInterval:
		r.isAsked, r.nextPing = false, now
		d.recordAnswer(0)
	}
	return Change{}, false
}

// recordAnswer takes the outcome of a ping of an agent that answers: 1 for an answer in time, else 0.
func (d *Directory) recordAnswer(outcome float64) {
	d.answerRate += (outcome - d.answerRate) / answerRateSamples
}

func (d *Directory) miss(now time.Time, t *Target) (Change, bool) {
	r := &t.reach
	r.isAsked, r.nextPing = false, now
	if r.missed == 0 {
		r.firstMiss = r.askedAt
	}
	r.missed++
	if t.State == Reachable {
		d.recordAnswer(0)
	}
	state := t.State
	silence := now.Sub(r.firstMiss)
	switch {
	case d.isGone(t, silence):
		state = Gone
		r.nextPing = now.Add(min(max(silence/8, pingInterval), rarestPing))
	case silence >= deadAfter && r.missed >= deadMisses:
		state = max(state, Dead)
		r.nextPing = now.Add(min((silence-deadAfter)/4, rarestPing))
	case r.missed >= suspectAfter:
		state = max(state, Suspect)
	}
	if state == t.State {
		return Change{}, false
	}
	t.State = state
	d.compile()
	return Change{Target: *t, Reason: "no pong"}, true
}

// SetAgentStart notes when an agent has started.
func (d *Directory) SetAgentStart(agent hop.IP, at time.Time) {
	if t := d.targets[agent]; t != nil {
		t.reach.startedAt = at
	}
}

// judgePath reports whether the path of answers is good: those of agents that answer come in time, and few agents are silent.
// It notes whether most of these have just started.
func (d *Directory) judgePath(now time.Time) bool {
	answering, silent, started := 0, 0, 0
	for _, t := range d.targets {
		switch {
		case t.State == Gone:
		case t.State != Reachable:
			silent++
		case !t.AnsweredAt.IsZero() && now.Sub(t.AnsweredAt) <= heardWithin:
			answering++
			if now.Sub(t.reach.startedAt) < commonStart {
				started++
			}
		}
	}
	d.isCommonStart = answering > 0 && float64(started) >= commonStartShare*float64(answering)
	return d.answerRate >= goodAnswerRate && float64(silent) <= maxSilentShare*float64(silent+answering)
}

// doubtGone takes back that agents are gone: one that is back might not be heard.
func (d *Directory) doubtGone() (changes []Change) {
	for _, t := range d.targets {
		if t.State == Gone {
			t.State = Dead
			changes = append(changes, Change{Target: *t, Reason: "answers are late"})
		}
	}
	if len(changes) > 0 {
		d.compile()
	}
	return changes
}

// isGone reports whether an agent that has been silent for a time is gone.
func (d *Directory) isGone(t *Target, silence time.Duration) bool {
	limit := goneAfter
	if t.AnsweredAt.IsZero() && d.isCommonStart {
		limit = unheardGoneAfter
	}
	return t.State == Gone || silence >= limit && t.reach.missed >= goneMisses && d.isPathGood
}

// sequence returns the sequence of a ping that is sent now.
func (d *Directory) sequence(now time.Time) uint16 {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	return uint16(now.Sub(d.startedAt) / sequenceUnit)
}

// sentAt returns when the latest ping with a sequence was sent, to the unit of sequences.
func (d *Directory) sentAt(now time.Time, sequence uint16) time.Time {
	age := d.sequence(now) - sequence
	units := now.Sub(d.startedAt)/sequenceUnit - time.Duration(age)
	return d.startedAt.Add(units * sequenceUnit)
}
