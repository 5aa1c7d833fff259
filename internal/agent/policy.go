package agent

import (
	"sync"
	"time"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/class"
	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
)

// poolPolicy is the policy that the tables of pools and routes declare for the agent's pool. The agent's settings define what
// it doesn't declare.
type poolPolicy struct {
	mu       sync.Mutex
	declared control.PoolPolicy
}

// replaceIfNewer replaces the policy if declared has a higher revision. It reports whether it did.
func (p *poolPolicy) replaceIfNewer(declared control.PoolPolicy) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if declared.Revision <= p.declared.Revision {
		return false
	}
	p.declared = declared
	return true
}

// defaultDeadline returns the declared default deadline, or 0 if none is declared.
func (p *poolPolicy) defaultDeadline() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.declared.DefaultDeadline
}

// applyPoolPolicy applies the policy that an observer has sent, if it is newer than the one in force.
func (a *Agent) applyPoolPolicy(declared control.PoolPolicy) {
	if !a.poolPolicy.replaceIfNewer(declared) {
		return
	}
	limits := admit.LimitsChanged{ShortReserve: a.settings.ShortReserve, QueueLimit: a.settings.QueueLimit}
	if declared.ShortReserve >= 0 {
		limits.ShortReserve = declared.ShortReserve
	}
	if declared.QueueLimit >= 0 {
		limits.QueueLimit = declared.QueueLimit
	}
	a.admission.handleEvent(limits)
	a.log.Emit(events.PolicyApplied, events.F("revision", declared.Revision),
		events.F("short_reserve", limits.ShortReserve), events.F("queue_limit", limits.QueueLimit),
		events.F("default_deadline_ms", a.defaultDeadline(class.Short).Milliseconds()))
}

// defaultDeadline returns the time allowed for a request of the class whose caller states no deadline.
func (a *Agent) defaultDeadline(c class.Class) time.Duration {
	if declared := a.poolPolicy.defaultDeadline(); declared > 0 {
		return declared
	}
	return a.settings.defaultDeadline(c)
}
