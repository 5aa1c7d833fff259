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
	// healthTickInterval is the time between two ticks of the monitor.
	healthTickInterval = 250 * time.Millisecond
	// healthCheckInterval is the time between two checks of the target's health endpoint.
	healthCheckInterval = time.Second
	healthCheckTimeout  = 500 * time.Millisecond
	healthPath          = "/health"
)

// healthMonitor runs the health monitor of the target and logs its changes. While the target is ejected, the agent redirects
// new flows and declines relayed requests.
type healthMonitor struct {
	mu      sync.Mutex
	monitor *health.Monitor
	// shortStartedAt holds the start times of the short requests that the target is running.
	shortStartedAt map[*job]time.Time
	log            *events.Logger
}

func newHealthMonitor(now time.Time, log *events.Logger) *healthMonitor {
	return &healthMonitor{monitor: health.New(now), shortStartedAt: make(map[*job]time.Time), log: log}
}

// isEjected reports whether the target is ejected.
func (h *healthMonitor) isEjected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.monitor.State() == health.Ejected
}

// trackShortRequest records that the target runs a request until the returned function is called. It ignores other classes.
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

// handleEvent passes an event to the monitor.
func (h *healthMonitor) handleEvent(event health.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyEvent(event)
}

// applyEvent is handleEvent for callers that hold mu.
func (h *healthMonitor) applyEvent(event health.Event) {
	change := h.monitor.Step(time.Now(), event)
	if change == nil {
		return
	}
	h.log.Emit(events.HealthChanged, events.F("state", change.State.String()), events.F("reason", change.Reason))
}

// handleTick reports the age of the oldest short request to the monitor.
func (h *healthMonitor) handleTick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var oldest time.Duration
	for _, started := range h.shortStartedAt {
		oldest = max(oldest, time.Since(started))
	}
	h.applyEvent(health.Tick{OldestShortAge: oldest})
}

// recordTargetHealth reports the result of a request to the monitor. A request that its caller canceled, or that the target
// refused with status 503, says nothing about the target's health.
func (a *Agent) recordTargetHealth(j *job, r result, duration time.Duration) {
	switch {
	case j.request.Context().Err() != nil:
		return
	case r.outcome == outcomeDone && r.status < http.StatusInternalServerError:
		a.health.handleEvent(health.RequestSucceeded{Duration: duration})
	case r.outcome == outcomeDone && r.status == http.StatusServiceUnavailable:
		return
	default:
		a.health.handleEvent(health.RequestFailed{})
	}
}

// monitorHealth ticks the monitor, so that it notices a target that doesn't respond, and checks the target's health endpoint,
// until ctx is done.
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

// checkHealth requests the target's health endpoint and reports whether the target is healthy. Every status below 500 counts as
// healthy, thus also 404 from a target without such an endpoint.
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
