package agent

import (
	"sync"

	"gentianswitch/internal/member"
)

// lifecycle is the state that the agent announces.
type lifecycle struct {
	mu       sync.Mutex
	state    member.State
	sequence uint64
	changed  chan struct{}
}

func newLifecycle() *lifecycle {
	return &lifecycle{state: member.Starting, sequence: 1, changed: make(chan struct{})}
}

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

// touch announces the present state again, as a change.
func (l *lifecycle) announceAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publishChange()
}

// advance counts a change and tells of it. The caller holds mu.
func (l *lifecycle) publishChange() {
	l.sequence++
	close(l.changed)
	l.changed = make(chan struct{})
}

// onChange returns a channel that is closed at the next change.
func (l *lifecycle) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
