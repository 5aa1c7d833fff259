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
	healthTickInterval = 250 * time.Millisecond
	// healthCheckInterval is the time between two questions to the target's health endpoint.
	healthCheckInterval = time.Second
	healthCheckTimeout  = 500 * time.Millisecond
	healthPath          = "/health"
)

// healthMonitor drives the monitor of the target.
type healthMonitor struct {
	mu      sync.Mutex
	monitor *health.Monitor
	// shortStartedAt holds when the short requests that run were started.
	shortStartedAt map[*job]time.Time
	log            *events.Logger
}

func newHealthMonitor(now time.Time, log *events.Logger) *healthMonitor {
	return &healthMonitor{monitor: health.New(now), shortStartedAt: make(map[*job]time.Time), log: log}
}

func (h *healthMonitor) isEjected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.monitor.State() == health.Ejected
}

// trackShortRequest records a request that the target runs until the returned function is called.
func (h *healthMonitor) trackShortRequest(j *job) (ended func()) {
	if j.class != class.Short {
		return func() {}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shortStartedAt[j] = time.Now()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.shortStartedAt, j)
	}
}

func (h *healthMonitor) handleEvent(event health.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyEvent(event)
}

func (h *healthMonitor) applyEvent(event health.Event) {
	change := h.monitor.Step(time.Now(), event)
	if change == nil {
		return
	}
	h.log.Emit(events.HealthChanged, events.F("state", change.State.String()), events.F("reason", change.Reason))
}

func (h *healthMonitor) handleTick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var oldest time.Duration
	for _, started := range h.shortStartedAt {
		oldest = max(oldest, time.Since(started))
	}
	h.applyEvent(health.Tick{OldestShort: oldest})
}

// recordTargetHealth tells the monitor how a request ended. A request that its caller gave up tells nothing of the target.
func (a *Agent) recordTargetHealth(j *job, r result, duration time.Duration) {
	switch {
	case j.request.Context().Err() != nil:
		return
	case r.outcome == outcomeDone && r.status < http.StatusInternalServerError:
		a.health.handleEvent(health.Answered{Duration: duration})
	case r.outcome == outcomeDone && r.status == http.StatusServiceUnavailable:
		return
	default:
		a.health.handleEvent(health.Failed{})
	}
}

// monitorHealth lets the monitor notice a target that does not answer, and asks the target's health endpoint.
func (a *Agent) monitorHealth(ctx context.Context) error {
	ticker := time.NewTicker(healthTickInterval)
	defer ticker.Stop()
	checks := time.NewTicker(healthCheckInterval)
	defer checks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.health.handleTick()
		case <-checks.C:
			a.health.handleEvent(health.Hint{IsHealthy: a.target.checkHealth(ctx)})
		}
	}
}

// checkHealth asks the target's health endpoint. An endpoint that does not exist says healthy.
func (t *targetClient) checkHealth(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+healthPath, nil)
	if err != nil {
		return false
	}
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode < http.StatusInternalServerError
}
