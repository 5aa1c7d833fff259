package agent

import (
	"sync"

	"gentianswitch/internal/member"
)

// lifecycle is the lifecycle state that the agent announces, with a sequence number that increases with each change.
type lifecycle struct {
	mu       sync.Mutex
	state    member.State
	sequence uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newLifecycle() *lifecycle {
	return &lifecycle{state: member.Starting, sequence: 1, changed: make(chan struct{})}
}

// current returns the state and its sequence number.
func (l *lifecycle) current() (member.State, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.sequence
}

func (l *lifecycle) setState(state member.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	l.publishChange()
}

// announceAgain causes an immediate announcement of the current state, with a new sequence number.
func (l *lifecycle) announceAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publishChange()
}

// publishChange increments the sequence number and wakes whoever waits for a change. The caller holds mu.
func (l *lifecycle) publishChange() {
	l.sequence++
	close(l.changed)
	l.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (l *lifecycle) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
