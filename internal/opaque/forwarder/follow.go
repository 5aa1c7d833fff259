package forwarder

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// Times of following the store.
const (
	// followWait is the time after which a call that waits for changes is renewed. A store that compacts its history can
	// leave a waiting call without an event, and one that is out of reach shows by the end of a call at the latest.
	followWait = time.Second
	// followSlack is the time that an answer may take beyond it before the others of the group no longer count on this
	// balancer.
	followSlack = 350 * time.Millisecond
	// followSpacing is the least time between two such calls, so that changes in quick succession arrive together: each
	// entry that changes would otherwise be a call. What agents know of their targets binds them without it.
	followSpacing = time.Second
	// Waits between failed calls: short at first, and at most a second, so that an outage costs few calls. A balancer
	// that knows no routes yet has callers waiting and tries more often.
	firstRetry      = 50 * time.Millisecond
	lastRetry       = time.Second
	uninformedRetry = 120 * time.Millisecond
)

// everything is the prefix of all keys: one call waits for the routes and for the targets.
const everything = ""

// follower is the state of following the store.
type follower struct {
	*Forwarder
	retry *backoff.ExponentialBackOff
}

// follow keeps the routes and the targets in step with the store while this balancer is a reader, until ctx ends.
func (f *Forwarder) follow(ctx context.Context) error {
	s := follower{Forwarder: f, retry: backoff.NewExponentialBackOff()}
	s.retry.InitialInterval, s.retry.MaxInterval = firstRetry, lastRetry
	for f.awaitRole(ctx) {
		sleep(ctx, s.step(ctx))
	}
	return nil
}

// step makes one call, or those of a start, and returns the time until the next.
func (s *follower) step(ctx context.Context) time.Duration {
	started := time.Now()
	after := s.began(started)
	defer s.ended()
	var at store.Version
	var err error
	if after == 0 {
		at, err = s.start(ctx)
	} else {
		at, err = s.takeChanges(ctx, after)
	}
	switch {
	case err == nil:
		s.succeeded(at)
		return followSpacing - time.Since(started)
	case ctx.Err() != nil:
		return 0
	case eris.Is(err, store.ErrCompacted):
		s.forget()
		return 0
	default:
		return s.failed(err)
	}
}

// began notes that a call begins, and returns the revision to go on from.
func (s *follower) began(now time.Time) store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = now
	return s.followedTo
}

func (s *follower) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = time.Time{}
}

func (s *follower) succeeded(at store.Version) {
	s.retry.Reset()
	s.mu.Lock()
	wasLost := s.isStoreLost
	s.storeHeardAt, s.isStoreLost = time.Now(), false
	s.followedTo = max(s.followedTo, at)
	s.mu.Unlock()
	if wasLost {
		s.parts.Log.Emit(events.StoreAvailable, events.F("peer", "store"))
	}
}

// forget makes the next step read the store anew: its history no longer reaches back to what is known.
func (s *follower) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followedTo = 0
}

// failed returns the time until the next try.
func (s *follower) failed(err error) time.Duration {
	s.mu.Lock()
	wasLost := s.isStoreLost
	s.isStoreLost = true
	s.mu.Unlock()
	if !wasLost {
		s.parts.Log.Emit(events.StoreUnavailable, events.F("step", "follow"), events.F("peer", "store"), events.Err(err))
	}
	wait := s.retry.NextBackOff()
	if !s.isReady.Load() {
		wait = min(wait, uninformedRetry)
	}
	return wait
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// start reads the store, and returns the revision from which its changes are followed. While this balancer cannot forward,
// the state of another one ends the reading: both share one link.
func (f *Forwarder) start(ctx context.Context) (store.Version, error) {
	if f.isReady.Load() {
		return f.takeAll(ctx)
	}
	reading, cancel := f.whileUninformed(ctx)
	defer cancel()
	at, err := f.takeAll(reading)
	if handed := f.revision(); err != nil && handed > 0 {
		return handed, nil
	}
	return at, err
}

// revision returns the revision up to which the changes of the store are known, or zero.
func (f *Forwarder) revision() store.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followedTo
}

// takeAll reads every target and the routes. The routes are read last, so that no change of them is missed from the
// returned version on.
func (f *Forwarder) takeAll(ctx context.Context) (store.Version, error) {
	began, err := bootTime()
	if err != nil {
		return 0, err
	}
	items, at, err := f.parts.Store.List(ctx, registry.Prefix)
	if err != nil {
		return 0, err
	}
	configuration, err := f.parts.Store.Read(ctx, f.parts.Configuration.Key)
	switch {
	case err == nil:
		f.takeConfiguration(configuration, sourceStore)
	case !eris.Is(err, store.ErrNotFound):
		return 0, err
	}
	f.takeWhole(items, at)
	f.confirm(began)
	f.updateReadiness()
	return at, nil
}

func (f *Forwarder) takeChanges(ctx context.Context, after store.Version) (store.Version, error) {
	changes, at, err := f.parts.Store.Follow(ctx, everything, after, followWait)
	if err != nil {
		return after, err
	}
	for _, change := range changes {
		f.takeChange(change)
	}
	f.updateReadiness()
	return at, nil
}
