package forwarder

import (
	"context"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/hop"
)

// catchUpSource is a balancer whose state is newer than that of this one.
type catchUpSource struct {
	balancer hop.IP
	// delay is the time after which its state is fetched, unless this balancer's configuration has changed by then.
	delay time.Duration
}

// applyGroupStatus records the status of the group that an agent sent, and schedules a fetch when it shows that this balancer
// is behind.
func (f *Forwarder) applyGroupStatus(now time.Time, agent hop.IP, status hop.GroupStatus) {
	f.mu.Lock()
	if f.directory.IsHub(agent) {
		f.readers.HandleGroupStatus(now, agent, status.Readers)
	}
	reader, isBehind := f.readers.ReaderAhead(uint64(f.appliedRevision))
	isWatching := f.isWatching(now)
	f.mu.Unlock()
	switch {
	case isBehind && !isWatching:
		f.catchUpSources.TryPut(catchUpSource{balancer: reader})
	case status.Configuration.Version > f.configurationVersion() && status.Configuration.Holder != f.self:
		f.catchUpSources.TryPut(catchUpSource{balancer: status.Configuration.Holder, delay: catchUpDelay})
	}
}

// updateRole updates whether this balancer is a reader, one of the balancers of its group that watch the store. The group is
// notified at once, by pings to its hubs, when the balancer starts or stops watching, and when it has applied a change.
func (f *Forwarder) updateRole(now time.Time) {
	f.mu.Lock()
	hasChanged, isReader := f.readers.Tick(now), f.readers.IsReader()
	isWatching := f.isWatching(now)
	if isWatching != f.wasWatching || isWatching && f.appliedRevision > f.announcedRevision {
		f.wasWatching, f.announcedRevision = isWatching, f.appliedRevision
		f.directory.PingHubs(now)
	}
	f.mu.Unlock()
	if !hasChanged {
		return
	}
	revision := f.revision()
	f.deps.Log.Emit(events.StoreReaderChanged, events.F("reading", isReader), events.F("revision", revision.Revision()),
		events.F("era", revision.Era()))
	select {
	case f.roleChanged <- struct{}{}:
	default:
	}
}

// balancerStatus returns the status that this balancer reports to its hubs, the agents through which the balancers of a group
// exchange their status.
func (f *Forwarder) balancerStatus(now time.Time) hop.BalancerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := hop.BalancerStatus{
		Configuration: hop.ConfigurationSource{Holder: f.self}, Group: f.directory.Group(), Revision: uint64(f.appliedRevision),
		IsWatching: f.appliedRevision > 0 && f.isWatching(now),
	}
	if table := f.steer.Table(); table != nil {
		r.Configuration.Version = table.Version
	}
	return r
}

// isWatching reports whether this balancer is a reader and the store answers its calls in time. The caller holds mu.
func (f *Forwarder) isWatching(now time.Time) bool {
	isLate := !f.storeCallStartedAt.IsZero() && now.Sub(f.storeCallStartedAt) > maxWatchWait+watchSlack
	return f.readers.IsReader() && !f.isStoreUnavailable && !isLate
}

// awaitStoreDuty waits until this balancer has to call the store: it is a reader, or does not know the complete state yet. It
// reports false when ctx ends first.
func (f *Forwarder) awaitStoreDuty(ctx context.Context) bool {
	for ctx.Err() == nil {
		f.mu.Lock()
		isDue := f.readers.IsReader() || f.appliedRevision == 0
		f.mu.Unlock()
		if isDue {
			return true
		}
		select {
		case <-ctx.Done():
		case <-f.roleChanged:
		}
	}
	return false
}
