package agent

import (
	"sync"

	"gentianswitch/internal/class"
)

// progress counts the work in progress: open connections, and requests by class. A feed counts as a request.
type progress struct {
	mu       sync.Mutex
	flows    int
	requests map[class.Class]int
}

func newProgress() *progress {
	return &progress{requests: make(map[class.Class]int)}
}

// begin counts a request until the returned function is called.
func (p *progress) begin(c class.Class) (end func()) {
	p.addRequests(c, 1)
	return func() { p.addRequests(c, -1) }
}

func (p *progress) addRequests(c class.Class, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[c] += n
}

// open counts a connection until the returned function is called.
func (p *progress) open() (closed func()) {
	p.addFlows(1)
	return func() { p.addFlows(-1) }
}

func (p *progress) addFlows(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flows += n
}

// counts returns the number of open connections, feeds and other requests.
func (p *progress) counts() (flows, feeds, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flows, p.requests[class.Feed], p.requests[class.Short] + p.requests[class.Long]
}
