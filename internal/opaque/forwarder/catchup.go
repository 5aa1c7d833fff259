package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/handover"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

const (
	// catchUpDelay is the time in which a change normally reaches a balancer whose call to the store waits. A balancer whose
	// next call is not due (followSpacing) is told by the other one.
	catchUpDelay = 300 * time.Millisecond
	// seedDelay is the time in which a healthy store tells a balancer that starts all it needs.
	seedDelay = 40 * time.Millisecond
	// firstSeedRetry and lastSeedRetry bound the time between two rounds of asking seeds while this balancer cannot
	// forward. It grows, since seeds that know nothing yet start like all others, on links that are as narrow.
	firstSeedRetry = 150 * time.Millisecond
	lastSeedRetry  = 2 * time.Second
)

// catchUp fetches the state of a balancer that knows more than this one, until ctx ends.
func (f *Forwarder) catchUp(ctx context.Context) error {
	for {
		next, ok := f.ahead.Get(ctx)
		if !ok {
			return nil
		}
		before := f.version()
		sleep(ctx, next.wait)
		if next.wait == 0 || f.version() == before {
			f.fetch(ctx, f.peerAt(next.holder))
		}
		for ok := true; ok; {
			_, ok = f.ahead.TryGet()
		}
	}
}

// askSeeds asks other balancers for their state until this one can forward or ctx ends. The store is asked at the same
// time; whoever answers first is taken.
func (f *Forwarder) askSeeds(ctx context.Context) error {
	ctx, cancel := f.whileUninformed(ctx)
	defer cancel()
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval, waits.MaxInterval = firstSeedRetry, lastSeedRetry
	for wait := seedDelay; ctx.Err() == nil; wait = waits.NextBackOff() {
		sleep(ctx, wait)
		f.askAllSeeds(ctx)
	}
	return nil
}

// whileUninformed returns a context that ends when this balancer can forward.
func (f *Forwarder) whileUninformed(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-f.informed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// askAllSeeds asks the seeds at the same time, since one that has no power answers nothing.
func (f *Forwarder) askAllSeeds(ctx context.Context) {
	var asked sync.WaitGroup
	for _, seed := range f.settings.Seeds {
		if seed.Addr() != f.settings.Peer.Addr() {
			asked.Go(func() { f.fetch(ctx, netip.AddrPortFrom(seed.Addr(), f.settings.Peer.Port())) })
		}
	}
	asked.Wait()
}

// fetch takes the state of another balancer.
func (f *Forwarder) fetch(ctx context.Context, from netip.AddrPort) {
	if ctx.Err() != nil {
		return
	}
	request := f.request()
	state, err := handover.Fetch(ctx, from, request)
	if err != nil {
		if ctx.Err() == nil {
			f.handoverFailed(from.String(), err)
		}
		return
	}
	if state.Configuration.Version > 0 {
		f.takePacked(state.Configuration, from)
	}
	f.takeHandedTargets(state)
	if state.IsComplete(request) {
		f.mu.Lock()
		f.followedTo = max(f.followedTo, state.At)
		f.mu.Unlock()
		f.updateReadiness()
	}
}

// request returns what this balancer asks of another one.
func (f *Forwarder) request() handover.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return handover.Request{Configuration: f.document.Version, After: f.followedTo}
}

// takeHandedTargets takes the targets of another balancer's state. A whole state ends those that it does not hold, unless
// their entries are later.
func (f *Forwarder) takeHandedTargets(state handover.State) {
	items := make([]store.Item, 0, len(state.Targets))
	for _, target := range state.Targets {
		items = append(items, decodeItem(target))
	}
	if state.IsWhole && state.At > 0 {
		f.takeWhole(items, state.At)
		return
	}
	for _, item := range items {
		f.takeEntry(item)
	}
	for _, removed := range state.Removed {
		f.removeEntry(decodeItem(removed))
	}
}

func (f *Forwarder) takePacked(packed handover.Item, from netip.AddrPort) {
	value, err := handover.Unpack(packed.Value)
	if err != nil {
		f.handoverFailed(from.String(), err)
		return
	}
	f.takeConfiguration(store.Item{Key: packed.Key, Value: value, Version: packed.Version}, from.String())
}

func (f *Forwarder) handoverFailed(peer string, err error) {
	f.parts.Log.Emit(events.HandoverFailed, events.F("peer", peer), events.Err(err))
}

func decodeItem(i handover.Item) store.Item {
	return store.Item{Key: i.Key, Value: i.Value, Version: i.Version}
}

// state returns what this balancer knows from the store and the one that asks does not.
func (f *Forwarder) state(request handover.Request) handover.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := handover.State{At: f.followedTo, IsWhole: request.After < f.wholeAt || request.After == 0}
	after := request.After
	if state.IsWhole {
		after = 0
	}
	if f.document.Version > request.Configuration {
		state.Configuration = f.packDocument()
	}
	for _, t := range f.directory.Targets() {
		if t.Revision <= after {
			continue
		}
		value, err := t.Entry.Encode()
		if err != nil {
			f.handoverFailed(ipText(t.Agent), err)
			continue
		}
		state.Targets = append(state.Targets, handover.Item{Key: registry.Key(t.Agent), Value: value, Version: t.Revision})
	}
	if !state.IsWhole {
		f.directory.EachRemoved(after, func(agent hop.IP, revision store.Version) {
			state.Removed = append(state.Removed, handover.Item{Key: registry.Key(agent), Version: revision})
		})
	}
	return state
}

// packDocument returns the configuration in force for another balancer. It is packed once. The caller holds mu.
func (f *Forwarder) packDocument() handover.Item {
	if f.packed.Version != f.document.Version {
		value, err := handover.Pack(f.document.Value)
		if err != nil {
			f.handoverFailed(f.settings.Peer.String(), err)
			return handover.Item{}
		}
		f.packed = handover.Item{Key: f.document.Key, Value: value, Version: f.document.Version}
	}
	return f.packed
}
