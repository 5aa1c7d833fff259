package agent

import (
	"sync"

	"gentianswitch/internal/class"
)

// activeWork counts the work in progress: open flows, and requests by class. A feed counts as a request.
type activeWork struct {
	mu       sync.Mutex
	flows    int
	requests map[class.Class]int
}

func newActiveWork() *activeWork {
	return &activeWork{requests: make(map[class.Class]int)}
}

// trackRequest counts a request until the returned function is called.
func (p *activeWork) trackRequest(c class.Class) (end func()) {
	p.addRequests(c, 1)
	return func() { p.addRequests(c, -1) }
}

func (p *activeWork) addRequests(c class.Class, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[c] += n
}

// trackFlow counts a flow until the returned function is called.
func (p *activeWork) trackFlow() (closed func()) {
	p.addFlows(1)
	return func() { p.addFlows(-1) }
}

func (p *activeWork) addFlows(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flows += n
}

// counts returns the numbers of open flows, feeds and other requests.
func (p *activeWork) counts() (flows, feeds, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.flows, p.requests[class.Feed], p.requests[class.Short] + p.requests[class.Long]
}
