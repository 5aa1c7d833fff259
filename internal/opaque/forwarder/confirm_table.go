package forwarder

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
)

// errTableOutdated means that the store holds a newer table than the one in force.
var errTableOutdated = eris.New("a newer table of routes is on its way")

// confirmTableAndView returns nil once the table was confirmed and the view is fresh. The view comes last, since it stays fresh for a short
// time only.
func (f *Forwarder) confirmTableAndView(ctx context.Context) error {
	if err := f.confirmTable(ctx); err != nil {
		return err
	}
	return f.revalidateView(ctx)
}

// confirmTable returns nil if the table in force is at least as new as the one that the store held at some time during the call. The
// preferred reader of the group reads the store for all.
func (f *Forwarder) confirmTable(ctx context.Context) error {
	if !f.isStoreSettled() {
		return registry.ErrUnsettled
	}
	f.mu.Lock()
	reader, isOther := f.readers.PreferredReader(time.Now(), f.isWatching(time.Now()))
	f.mu.Unlock()
	if isOther {
		if newest, ok := f.requestFromReader(ctx, hop.TableRequest, reader); ok {
			return f.compareTable(newest.value, reader)
		}
	}
	newest, err := f.newestTable.get(ctx, 0)
	if err != nil {
		return err
	}
	return f.compareTable(newest.value, f.self)
}

// compareTable compares the table in force with the newest one, which a balancer holds. If that is newer, its state is fetched.
func (f *Forwarder) compareTable(newest uint64, holder hop.IP) error {
	if f.configurationVersion() >= newest {
		return nil
	}
	if holder != f.self {
		f.catchUpSources.TryPut(catchUpSource{balancer: holder})
	}
	return errTableOutdated
}

// readNewestTable reads the changes of the configuration since the last applied revision, applies them and returns the version of the
// table that is then in force.
func (f *Forwarder) readNewestTable(ctx context.Context) (uint64, error) {
	f.mu.Lock()
	after := max(f.appliedRevision, f.watchedRevision)
	f.mu.Unlock()
	if after == 0 {
		return 0, eris.New("the state of the store is not known yet")
	}
	changes, _, err := f.deps.Store.Watch(ctx, f.deps.Configuration.Key, after, 0)
	if err != nil {
		return 0, err
	}
	for _, change := range changes {
		f.applyChange(change)
	}
	return f.configurationVersion(), nil
}

// decideTableConfirmed decides on a packet without a route, or whose candidate search is exhausted. The view must be fresh, and the
// table confirmed since the packet arrived.
func (f *Forwarder) decideTableConfirmed(p *flow.Packet, h *hop.Header, datagram []byte) {
	f.mu.Lock()
	d := f.steer.HandleTableConfirmed(time.Now(), p, h)
	f.mu.Unlock()
	f.applyDecision(p, d, datagram)
}
