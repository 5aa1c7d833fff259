package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"gentianswitch/internal/class"
	"gentianswitch/internal/events"
	"gentianswitch/internal/health"
)

const (
	healthTick = 250 * time.Millisecond
	// hintInterval is the time between two questions to the target's health endpoint.
	hintInterval = time.Second
	hintTimeout  = 500 * time.Millisecond
	pathHealth   = "/health"
)

// healthMonitor drives the monitor of the target.
type healthMonitor struct {
	mu      sync.Mutex
	monitor *health.Monitor
	// short holds when the short requests that run were started.
	short map[*job]time.Time
	log   *events.Logger
}

func newHealthMonitor(now time.Time, log *events.Logger) *healthMonitor {
	return &healthMonitor{monitor: health.New(now), short: make(map[*job]time.Time), log: log}
}

func (h *healthMonitor) isEjected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.monitor.State() == health.Ejected
}

// started records a request that the target runs until the returned function is called.
func (h *healthMonitor) started(j *job) (ended func()) {
	if j.class != class.Short {
		return func() {}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.short[j] = time.Now()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.short, j)
	}
}

func (h *healthMonitor) step(event health.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(event)
}

func (h *healthMonitor) apply(event health.Event) {
	change := h.monitor.Step(time.Now(), event)
	if change == nil {
		return
	}
	h.log.Emit(events.HealthChanged, events.F("state", change.State.String()), events.F("reason", change.Reason))
}

func (h *healthMonitor) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var oldest time.Duration
	for _, started := range h.short {
		oldest = max(oldest, time.Since(started))
	}
	h.apply(health.Tick{OldestShort: oldest})
}

// judge tells the monitor how a request ended. A request that its caller gave up tells nothing of the target.
func (a *Agent) judge(j *job, r result, took time.Duration) {
	switch {
	case j.request.Context().Err() != nil:
		return
	case r.outcome == outcomeDone && r.status < http.StatusInternalServerError:
		a.health.step(health.Answered{Duration: took})
	case r.outcome == outcomeDone && r.status == http.StatusServiceUnavailable:
		return
	default:
		a.health.step(health.Failed{})
	}
}

// watchHealth lets the monitor notice a target that does not answer, and asks the target's health endpoint.
func (a *Agent) watchHealth(ctx context.Context) error {
	ticker := time.NewTicker(healthTick)
	defer ticker.Stop()
	hints := time.NewTicker(hintInterval)
	defer hints.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.health.tick()
		case <-hints.C:
			a.health.step(health.Hint{IsHealthy: a.target.saysHealthy(ctx)})
		}
	}
}

// saysHealthy asks the target's health endpoint. An endpoint that does not exist says healthy.
func (t *targetClient) saysHealthy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+pathHealth, nil)
	if err != nil {
		return false
	}
	answer, err := t.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode < http.StatusInternalServerError
}
