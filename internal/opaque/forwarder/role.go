package forwarder

import (
	"context"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/hop"
)

// ahead is a balancer that knows more than this one.
type ahead struct {
	holder hop.IP
	// wait is the time after which it is asked, unless this balancer has learned of a change by then.
	wait time.Duration
}

// takeBulletin takes the bulletin of an agent.
func (f *Forwarder) takeBulletin(now time.Time, agent hop.IP, b hop.GroupStatus) {
	f.mu.Lock()
	if f.directory.IsHub(agent) {
		f.readers.HandleGroupStatus(now, agent, b.Readers)
	}
	reader, isBehind := f.readers.ReaderAhead(uint64(f.followedTo))
	isReading := f.isServed(now)
	f.mu.Unlock()
	switch {
	case isBehind && !isReading:
		f.ahead.TryPut(ahead{holder: reader})
	case b.Configuration.Version > f.version() && b.Configuration.Holder != f.self:
		f.ahead.TryPut(ahead{holder: b.Configuration.Holder, wait: catchUpDelay})
	}
}

// keepRole makes the choice of readers anew. The group hears at once when this balancer begins or ends to be one, and when it
// has read a change.
func (f *Forwarder) keepRole(now time.Time) {
	f.mu.Lock()
	hasChanged, isReading := f.readers.Tick(now), f.readers.IsReader()
	isServed := f.isServed(now)
	if isServed != f.wasServed || isServed && f.followedTo > f.announced {
		f.wasServed, f.announced = isServed, f.followedTo
		f.directory.PingHubs(now)
	}
	f.mu.Unlock()
	if !hasChanged {
		return
	}
	f.parts.Log.Emit(events.ReaderChanged, events.F("reading", isReading), events.F("revision", f.revision()))
	select {
	case f.roleChanged <- struct{}{}:
	default:
	}
}

// report returns what this balancer says of itself to the agents at which its group meets. Others need the sighting alone.
func (f *Forwarder) report(now time.Time) hop.BalancerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := hop.BalancerStatus{
		Configuration: hop.ConfigurationSource{Holder: f.self}, Group: f.directory.Group(), Revision: uint64(f.followedTo),
		IsWatching: f.followedTo > 0 && f.isServed(now),
	}
	if table := f.steer.Table(); table != nil {
		r.Configuration.Version = table.Version
	}
	return r
}

// isServed reports whether this balancer follows the store and the store answers in time. The caller holds mu.
func (f *Forwarder) isServed(now time.Time) bool {
	isLate := !f.askedAt.IsZero() && now.Sub(f.askedAt) > followWait+followSlack
	return f.readers.IsReader() && !f.isStoreLost && !isLate
}

// awaitRole waits until this balancer has to read the store. It reports false when ctx ends first.
func (f *Forwarder) awaitRole(ctx context.Context) bool {
	for ctx.Err() == nil {
		f.mu.Lock()
		isDue := f.readers.IsReader() || f.followedTo == 0
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
