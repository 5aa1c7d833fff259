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
	// suspectAfter is the number of unanswered pings in a row that make an agent suspect.
	suspectAfter = 2
	// deadAfter is the time without an answer after which an agent gets no new flows. An answer to a ping that is older
	// tells nothing.
	deadAfter = 2 * time.Second
	// deadMisses is the number of unanswered pings in a row that an agent needs besides to be dead.
	deadMisses = 6
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
)

// String returns the name that logs use.
func (r Reachability) String() string {
	return [...]string{"reachable", "suspect", "dead"}[r]
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
	// IsMeeting is set when the balancer's group meets at the agent.
	IsMeeting bool
}

// Used notes that a packet is sent to an agent, which passes it on to the next candidates when it has to. One of these that
// does not answer would swallow the packet, so they are asked as well.
func (d *Directory) Used(now time.Time, agent hop.IP, next ...hop.IP) {
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

// Suspect asks an agent at once, since a packet sent to it seems to have been lost.
func (d *Directory) Suspect(now time.Time, agent hop.IP) {
	if t := d.targets[agent]; t != nil && !t.reach.isAsked {
		t.reach.nextPing, t.reach.usedAt = now, now
	}
}

// Pong takes the answer of an agent. A late one counts too: the agent lived when it got the ping.
func (d *Directory) Pong(now time.Time, agent hop.IP, sequence uint16) (Change, bool) {
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
	return Ping{Agent: t.Agent, Sequence: sequence, IsMeeting: t.reach.isMeetingPoint}
}

// askCalm adds a ping of an agent that answers: its answer tells that a missing one is not due to the way.
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
	}
	return Change{}, false
}

func (d *Directory) miss(now time.Time, t *Target) (Change, bool) {
	r := &t.reach
	r.isAsked, r.nextPing = false, now
	if r.missed == 0 {
		r.firstMiss = r.askedAt
	}
	r.missed++
	state := t.State
	switch {
	case now.Sub(r.firstMiss) >= deadAfter && r.missed >= deadMisses:
		state = Dead
		r.nextPing = now.Add(min(max(now.Sub(r.firstMiss)/4, pingInterval), rarestPing))
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
