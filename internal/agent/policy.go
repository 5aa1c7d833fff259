package agent

import (
	"sync"
	"time"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/class"
	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
)

// policy is what the tables declare for the agent's pool. Without a declaration the agent's settings hold.
type policy struct {
	mu       sync.Mutex
	declared control.PoolPolicy
}

// take keeps a declared policy and reports whether it is of a higher revision than the one kept.
func (p *policy) replaceIfNewer(declared control.PoolPolicy) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if declared.Revision <= p.declared.Revision {
		return false
	}
	p.declared = declared
	return true
}

func (p *policy) defaultDeadline() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.declared.DefaultDeadline
}

// takePolicy puts the policy that a home balancer knows in force, if it is newer.
func (a *Agent) applyPolicy(declared control.PoolPolicy) {
	if !a.policy.replaceIfNewer(declared) {
		return
	}
	limits := admit.Limits{ShortReserve: a.settings.ShortReserve, QueueLimit: a.settings.QueueLimit}
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

// defaultDeadline returns the time for requests of a class that state none.
func (a *Agent) defaultDeadline(c class.Class) time.Duration {
	if declared := a.policy.defaultDeadline(); declared > 0 {
		return declared
	}
	return a.settings.defaultDeadline(c)
}
