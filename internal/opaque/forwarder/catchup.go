package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/handover"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

const (
	// catchUpDelay is the time in which a change normally reaches a balancer whose call to the store waits: 4 ms, and a few
	// hundred when the store is slow. A balancer whose next call is not due (followSpacing) is told by the other one.
	catchUpDelay = 300 * time.Millisecond
	// seedDelay is the time in which a healthy store tells a balancer that starts all it needs: two calls of 4 ms.
	seedDelay = 40 * time.Millisecond
	// seedRetry is the time between two rounds of asking seeds while this balancer cannot forward. Its callers are waiting
	// meanwhile, and their packets are repeated every 200 ms.
	seedRetry = 150 * time.Millisecond
)

// hasSeen takes the highest configuration version that an agent has heard of, and the balancer that holds it.
func (f *Forwarder) hasSeen(version uint64, holder hop.IP) {
	if holder == f.self || version <= f.version() {
		return
	}
	f.ahead.TryPut(holder)
}

// catchUp fetches the state of a balancer that holds a later configuration than this one, until ctx ends.
func (f *Forwarder) catchUp(ctx context.Context) error {
	for {
		holder, ok := f.ahead.Get(ctx)
		if !ok {
			return nil
		}
		before := f.version()
		sleep(ctx, catchUpDelay)
		if f.version() == before {
			f.fetch(ctx, netip.AddrPortFrom(netip.AddrFrom4(holder), f.settings.Peer.Port()))
		}
		for ok := true; ok; {
			_, ok = f.ahead.TryGet()
		}
	}
}

// askSeeds asks other balancers for their state until this one can forward or ctx ends. The store is asked at the same
// time; whoever answers first is taken.
func (f *Forwarder) askSeeds(ctx context.Context) error {
	for wait := seedDelay; ; wait = seedRetry {
		select {
		case <-ctx.Done():
			return nil
		case <-f.informed:
			return nil
		case <-time.After(wait):
			f.askAllSeeds(ctx)
		}
	}
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

func (f *Forwarder) fetch(ctx context.Context, from netip.AddrPort) {
	if ctx.Err() != nil {
		return
	}
	state, err := handover.Fetch(ctx, from)
	if err != nil {
		f.parts.Log.Emit(events.HandoverFailed, events.F("peer", from.String()), events.Err(err))
		return
	}
	if state.Configuration.Version > 0 {
		f.takeConfiguration(decodeItem(state.Configuration), from.String())
	}
	for _, target := range state.Targets {
		f.takeEntry(decodeItem(target))
	}
	if state.IsComplete() {
		f.mu.Lock()
		f.isListed = true
		f.mu.Unlock()
		f.updateReadiness()
	}
}

func decodeItem(i handover.Item) store.Item {
	return store.Item{Key: i.Key, Value: i.Value, Version: i.Version}
}

// state returns what this balancer knows from the store.
func (f *Forwarder) state() handover.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := handover.State{Configuration: handover.Item{
		Key: f.document.Key, Value: f.document.Value, Version: f.document.Version,
	}}
	for _, t := range f.directory.Targets() {
		value, err := t.Entry.Encode()
		if err != nil {
			f.parts.Log.Emit(events.HandoverFailed, events.F("peer", ipText(t.Agent)), events.Err(err))
			continue
		}
		state.Targets = append(state.Targets, handover.Item{Key: registry.Key(t.Agent), Value: value, Version: t.Revision})
	}
	return state
}
