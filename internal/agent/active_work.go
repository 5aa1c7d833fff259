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
func (w *activeWork) trackRequest(c class.Class) (finished func()) {
	w.addRequests(c, 1)
	return func() { w.addRequests(c, -1) }
}

func (w *activeWork) addRequests(c class.Class, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[c] += n
}

// trackFlow counts a flow until the returned function is called.
func (w *activeWork) trackFlow() (closed func()) {
	w.addFlows(1)
	return func() { w.addFlows(-1) }
}

func (w *activeWork) addFlows(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flows += n
}

// counts returns the numbers of open flows, feeds and other requests.
func (w *activeWork) counts() (flows, feeds, requests int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flows, w.requests[class.Feed], w.requests[class.Short] + w.requests[class.Long]
}
