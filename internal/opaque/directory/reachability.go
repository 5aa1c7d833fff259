package directory

import (
	"time"

	"gentianswitch/internal/opaque/hop"
)

// Limits of the reachability check.
const (
	// pingInterval is the time between two pings of an agent that answers.
	pingInterval = time.Second
	// pingAfterUse is the time for which an agent is pinged after a packet was sent to it.
	pingAfterUse = 2 * pingInterval
	// hubCount is the number of hubs of a group. The balancers of the group ping them whether or not they have packets for
	// them, and exchange their status through them. With three hubs this works while two of them are out of reach.
	hubCount = 3
	// hubPingInterval is the time between two pings of a hub.
	hubPingInterval = pingInterval / 2
	// maxPingInterval bounds the time between two pings of an agent that has not answered for long.
	maxPingInterval = 5 * time.Second
	// pongTimeout is the time after which a ping counts as unanswered, provided that other agents answer theirs. It bounds the
	// round trip on a link that is not congested.
	pongTimeout = 150 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = pongTimeout / 2
	// suspectUnansweredPings is the number of consecutive unanswered pings from which an agent is suspect.
	suspectUnansweredPings = 2
	// deadAfterSilence is the time without an answer from which an agent may be dead. Answers to pings that were sent longer
	// ago are ignored.
	deadAfterSilence = 2 * time.Second
	// deadUnansweredPings is the number of consecutive unanswered pings that are required as well before an agent is dead.
	deadUnansweredPings = 6
	// goneAfterSilence is the time without an answer from which an agent may be gone, while the path of the other agents'
	// answers is healthy. It exceeds the times for which VMs are suspended and the link outages that callers wait out.
	goneAfterSilence = 4 * time.Second
	// In a mass restart, as after a power failure of many VMs, at least minRestartedShare of the agents that answer have run
	// for less than maxRecentUptime. Then an agent that has never answered may be gone after massRestartGoneAfterSilence
	// instead of goneAfterSilence.
	maxRecentUptime             = 10 * time.Second
	massRestartGoneAfterSilence = 2 * time.Second
	minRestartedShare           = 2.0 / 3
	// goneUnansweredPings is the number of consecutive unanswered pings that are required as well before an agent is gone. At
	// minAnswerRate a living agent leaves that many unanswered once in a billion times.
	goneUnansweredPings = 9
	// minAnswerRate is the share of the recent pings of reachable agents that must have been answered in time for the path to
	// be healthy. answerRateSamples is the number of pings over which the share is averaged.
	minAnswerRate     = 0.9
	answerRateSamples = 20
	// maxSilentShare bounds the share of suspect and dead agents, among these and the agents that answer, while the path is
	// healthy. When more are silent, the path itself may be at fault.
	maxSilentShare = 1.0 / 3
	// maxAnswerAge is the time since its last answer for which an agent counts as answering when the path is assessed.
	maxAnswerAge = 2 * pingInterval
	// sequenceUnit is the unit of ping sequences, which encode when a ping was sent. They wrap around after 655 s.
	sequenceUnit = 10 * time.Millisecond
)

// Reachability is the state of an agent as a balancer sees it.
type Reachability uint8

// The states of an agent.
const (
	// Reachable agents answer pings, or have not been pinged long enough to be in another state.
	Reachable Reachability = iota
	// Suspect agents have left pings unanswered while others answered later ones. They are tried last.
	Suspect
	// Dead agents have not answered for so long that they get no new flows. They may still hold open flows.
	Dead
	// Gone agents have not answered for longer than callers wait, while the answers of others came in time. They are sent no
	// packets of open flows either.
	Gone
)

// String returns the name that logs use.
func (r Reachability) String() string {
	return [...]string{"reachable", "suspect", "dead", "gone"}[r]
}

// pingState is the state of the reachability check of one agent.
type pingState struct {
	// nextPingAt is when the next ping is due.
	nextPingAt time.Time
	// pingedAt is when the latest ping was sent; isAwaitingPong is set until it is answered or has timed out.
	pingedAt       time.Time
	isAwaitingPong bool
	// unansweredCount counts the consecutive unanswered pings, and firstUnansweredAt is when the first of them was sent.
	unansweredCount   int
	firstUnansweredAt time.Time
	// lastUsedAt is when a packet was last sent to the agent.
	lastUsedAt time.Time
	// agentStartedAt is when the agent started, or zero when it has not reported it.
	agentStartedAt time.Time
	// isHub is set when the agent is one of the hubCount hubs of the balancer's group.
	isHub bool
}

// shouldPing reports whether the agent has to be pinged: it is a hub, is in use, or has left pings unanswered.
func (t *Target) shouldPing(now time.Time) bool {
	return t.pingState.isHub || t.pingState.unansweredCount > 0 || t.State != Reachable ||
		now.Sub(t.pingState.lastUsedAt) < pingAfterUse
}

// interval returns the time between two pings of the agent while it answers them.
func (p *pingState) interval() time.Duration {
	if p.isHub {
		return hubPingInterval
	}
	return pingInterval
}

// Ping is a ping to send.
type Ping struct {
	Agent    hop.IP
	Sequence uint16
	// IsToHub is set when the agent is a hub of the balancer's group.
	IsToHub bool
}

// RecordUse records that a packet is sent to an agent, which may forward it to the next candidates. Each of these agents is
// pinged for some time, since one that is out of reach would lose the packet.
func (d *Directory) RecordUse(now time.Time, agent hop.IP, next ...hop.IP) {
	d.setLastUse(now, agent)
	for _, candidate := range next {
		d.setLastUse(now, candidate)
	}
}

func (d *Directory) setLastUse(now time.Time, agent hop.IP) {
	if t := d.targets[agent]; t != nil {
		t.pingState.lastUsedAt = now
	}
}

// RequestPing makes the next ping of an agent due at once, since a packet that was sent to it seems to have been lost.
func (d *Directory) RequestPing(now time.Time, agent hop.IP) {
	if t := d.targets[agent]; t != nil && !t.pingState.isAwaitingPong {
		t.pingState.nextPingAt, t.pingState.lastUsedAt = now, now
	}
}

// HandlePong records an agent's answer to a ping. A late answer counts too: the agent was alive when it received the ping. It
// returns the change, and reports true, when the agent becomes reachable again.
func (d *Directory) HandlePong(now time.Time, agent hop.IP, sequence uint16) (Change, bool) {
	t := d.targets[agent]
	if t == nil {
		return Change{}, false
	}
	sentAt := d.sentAt(now, sequence)
	if now.Sub(sentAt) > deadAfterSilence {
		return Change{}, false
	}
	t.AnsweredAt = now
	if sentAt.After(d.lastAnsweredPingAt) {
		d.lastAnsweredPingAt = sentAt
	}
	p := &t.pingState
	if t.State == Reachable && now.Sub(sentAt) < pongTimeout {
		d.updateAnswerRate(1)
	}
	p.unansweredCount = 0
	if p.isAwaitingPong && !sentAt.Before(p.pingedAt) {
		p.isAwaitingPong = false
	}
	if !p.isAwaitingPong {
		p.nextPingAt = now.Add(p.interval())
	}
	if t.State == Reachable {
		return Change{}, false
	}
	t.State = Reachable
	d.rebuildView()
	return Change{Target: *t, Reason: "pong"}, true
}

// Tick handles the pings that have timed out, and returns the pings to send and the changes of reachability. It is called every
// TickInterval.
func (d *Directory) Tick(now time.Time) (pings []Ping, changes []Change) {
	if d.isPathHealthy = d.assessPath(now); !d.isPathHealthy {
		changes = d.revertGoneToDead()
	}
	hasAnswering, hasSilent := false, false
	for _, t := range d.targets {
		if change, ok := d.checkPongTimeout(now, t); ok {
			changes = append(changes, change)
		}
		if t.pingState.isAwaitingPong || now.Before(t.pingState.nextPingAt) || !t.shouldPing(now) {
			continue
		}
		pings = append(pings, d.startPing(now, t))
		hasAnswering = hasAnswering || t.pingState.unansweredCount == 0
		hasSilent = hasSilent || t.pingState.unansweredCount > 0
	}
	if hasSilent && !hasAnswering {
		pings = d.appendReferencePing(now, pings)
	}
	return pings, changes
}

// startPing records that an agent is pinged now and returns the ping.
func (d *Directory) startPing(now time.Time, t *Target) Ping {
	sequence := d.sequence(now)
	t.pingState.isAwaitingPong, t.pingState.pingedAt = true, d.sentAt(now, sequence)
	return Ping{Agent: t.Agent, Sequence: sequence, IsToHub: t.pingState.isHub}
}

// appendReferencePing appends a ping of a hub that answers. When other agents leave their pings unanswered, the answer of the
// hub shows that the path is not at fault.
func (d *Directory) appendReferencePing(now time.Time, pings []Ping) []Ping {
	for _, t := range d.targets {
		if t.pingState.isHub && t.pingState.unansweredCount == 0 && !t.pingState.isAwaitingPong {
			return append(pings, d.startPing(now, t))
		}
	}
	return pings
}

// checkPongTimeout counts the latest ping of an agent as unanswered when its answer is overdue and some agent has answered a
// ping that was sent no earlier. Otherwise all answers are late or lost: the balancer is cut off, its link is congested, or it
// was suspended. Then the agent's state stays, and it is pinged again once pingInterval has passed.
func (d *Directory) checkPongTimeout(now time.Time, t *Target) (Change, bool) {
	p := &t.pingState
	waited := now.Sub(p.pingedAt)
	switch {
	case !p.isAwaitingPong || waited < pongTimeout:
		return Change{}, false
	case !d.lastAnsweredPingAt.Before(p.pingedAt):
		return d.recordUnansweredPing(now, t)
	case waited >= pingInterval:
		p.isAwaitingPong, p.nextPingAt = false, now
		d.updateAnswerRate(0)
	}
	return Change{}, false
}

// updateAnswerRate includes the outcome of a ping in the moving average answerRate: 1 for an answer in time, otherwise 0.
func (d *Directory) updateAnswerRate(outcome float64) {
	d.answerRate += (outcome - d.answerRate) / answerRateSamples
}

// recordUnansweredPing counts a ping of an agent as unanswered, derives the agent's state and schedules its next ping. The
// next ping is due at once until the agent is dead. After that, the time between pings grows with the silence, up to
// maxPingInterval.
func (d *Directory) recordUnansweredPing(now time.Time, t *Target) (Change, bool) {
	p := &t.pingState
	p.isAwaitingPong, p.nextPingAt = false, now
	if p.unansweredCount == 0 {
		p.firstUnansweredAt = p.pingedAt
	}
	p.unansweredCount++
	if t.State == Reachable {
		d.updateAnswerRate(0)
	}
	state := t.State
	silence := now.Sub(p.firstUnansweredAt)
	switch {
	case d.isGone(t, silence):
		state = Gone
		p.nextPingAt = now.Add(min(max(silence/8, pingInterval), maxPingInterval))
	case silence >= deadAfterSilence && p.unansweredCount >= deadUnansweredPings:
		state = max(state, Dead)
		p.nextPingAt = now.Add(min((silence-deadAfterSilence)/4, maxPingInterval))
	case p.unansweredCount >= suspectUnansweredPings:
		state = max(state, Suspect)
	}
	if state == t.State {
		return Change{}, false
	}
	t.State = state
	d.rebuildView()
	return Change{Target: *t, Reason: "no pong"}, true
}

// SetAgentStart records when an agent has started.
func (d *Directory) SetAgentStart(agent hop.IP, at time.Time) {
	if t := d.targets[agent]; t != nil {
		t.pingState.agentStartedAt = at
	}
}

// assessPath reports whether the network path from the agents to this balancer is healthy: reachable agents answer in time, and
// few agents are silent. It also updates isMassRestart.
func (d *Directory) assessPath(now time.Time) bool {
	answering, silent, recentlyStarted := 0, 0, 0
	for _, t := range d.targets {
		switch {
		case t.State == Gone:
		case t.State != Reachable:
			silent++
		case !t.AnsweredAt.IsZero() && now.Sub(t.AnsweredAt) <= maxAnswerAge:
			answering++
			if now.Sub(t.pingState.agentStartedAt) < maxRecentUptime {
				recentlyStarted++
			}
		}
	}
	d.isMassRestart = answering > 0 && float64(recentlyStarted) >= minRestartedShare*float64(answering)
	return d.answerRate >= minAnswerRate && float64(silent) <= maxSilentShare*float64(silent+answering)
}

// revertGoneToDead makes all gone agents dead again. It is called while the path is not healthy, since the answers of an agent
// that has come back might be lost.
func (d *Directory) revertGoneToDead() (changes []Change) {
	for _, t := range d.targets {
		if t.State == Gone {
			t.State = Dead
			changes = append(changes, Change{Target: *t, Reason: "answers are late"})
		}
	}
	if len(changes) > 0 {
		d.rebuildView()
	}
	return changes
}

// isGone reports whether an agent that has not answered for the time silence is gone. A gone agent stays so until it answers or
// the path is no longer healthy.
func (d *Directory) isGone(t *Target, silence time.Duration) bool {
	limit := goneAfterSilence
	if t.AnsweredAt.IsZero() && d.isMassRestart {
		limit = massRestartGoneAfterSilence
	}
	return t.State == Gone || silence >= limit && t.pingState.unansweredCount >= goneUnansweredPings && d.isPathHealthy
}

// sequence returns the sequence of a ping that is sent at the time now.
func (d *Directory) sequence(now time.Time) uint16 {
	if d.sequenceStart.IsZero() {
		d.sequenceStart = now
	}
	return uint16(now.Sub(d.sequenceStart) / sequenceUnit)
}

// sentAt returns when the latest ping with a sequence was sent, rounded down to sequenceUnit.
func (d *Directory) sentAt(now time.Time, sequence uint16) time.Time {
	age := d.sequence(now) - sequence
	units := now.Sub(d.sequenceStart)/sequenceUnit - time.Duration(age)
	return d.sequenceStart.Add(units * sequenceUnit)
}
