package forwarder

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cenkalti/backoff/v5"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/events"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// watchFake returns one answer to each watch call, and records after which version it was asked.
type watchFake struct {
	store.WatchableStore
	changes []store.Change
	at      store.Version
	err     error
	after   store.Version
}

func (w *watchFake) Watch(
	_ context.Context, _ string, after store.Version, _ time.Duration,
) ([]store.Change, store.Version, error) {
	w.after = after
	return w.changes, w.at, w.err
}

func newWatcher(fake *watchFake) *watcher {
	self := netip.MustParseAddrPort("127.30.1.1:4500")
	f := New(Settings{Data: self, Peer: self}, Dependencies{
		Store: fake, Configuration: Configuration{Key: "op/routes", Prefix: "op/"}, Log: events.NewDiscardLogger(), Scope: tally.NoopScope,
	})
	f.appliedRevision = store.Version(10).InEra(1)
	return &watcher{Forwarder: f, retry: backoff.NewExponentialBackOff()}
}

func changeOf(key string, revision uint64) store.Change {
	return store.Change{Item: store.Item{Key: key, Version: store.Version(revision).InEra(1)}}
}

// Guards against balancers that announce each write of a record to their group and fetch each other's state for it, and against a
// watch that returns the same records again.
func TestChangesOfRecordsAloneAreNotAnnounced(t *testing.T) {
	g := NewWithT(t)
	version := func(revision uint64) store.Version { return store.Version(revision).InEra(1) }
	fake := &watchFake{changes: []store.Change{changeOf(registry.FlowsPrefix+"10.1.0.13", 11), changeOf(registry.FlowsPrefix+"10.1.0.14", 12)}, at: version(12)}
	w := newWatcher(fake)
	w.callStore(context.Background())
	g.Expect(w.balancerStatus(time.Now()).Revision).To(BeEquivalentTo(version(10)))
	fake.changes = nil
	w.callStore(context.Background())
	g.Expect(fake.after).To(Equal(version(12)), "the watch continues after the records")
	g.Expect(w.revision()).To(Equal(version(10)))

	// Every other change is announced, by all readers with the same revision.
	fake.changes, fake.at = []store.Change{changeOf(registry.FlowsPrefix+"10.1.0.13", 12), changeOf(registry.ChangesKey, 13),
		changeOf(registry.FlowsPrefix+"10.1.0.13", 14)}, version(14)
	w.callStore(context.Background())
	g.Expect(w.revision()).To(Equal(version(13)))
	fake.changes, fake.at = []store.Change{changeOf(registry.FlowsPrefix+"10.1.0.13", 15)}, version(15)
	w.callStore(context.Background())
	fake.changes, fake.at = nil, version(17)
	w.callStore(context.Background())
	g.Expect(w.revision()).To(Equal(version(17)), "the store does not say what has changed")

	// A restored store is read completely, not watched from the version of a record.
	fake.changes, fake.at = []store.Change{changeOf(registry.FlowsPrefix+"10.1.0.13", 18)}, version(18)
	w.callStore(context.Background())
	fake.err = store.ErrCompacted
	w.callStore(context.Background())
	g.Expect(w.startCall(time.Now())).To(BeZero())
}
