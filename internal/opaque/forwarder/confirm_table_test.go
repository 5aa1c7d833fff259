package forwarder

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/opaque/desired"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// newConfirming returns a forwarder with the table of version 3. The value of the routes in the store is their version, as one digit.
func newConfirming(fake *watchFake) *Forwarder {
	f := newWatcher(fake).Forwarder
	f.deps.Configuration.Decode = func(raw []byte) (*desired.Table, error) { return desired.NewTable(uint64(raw[0] - '0')), nil }
	f.steer.SetTable(time.Now(), desired.NewTable(3))
	return f
}

func tableChange(version byte, revision uint64) store.Change {
	change := changeOf("op/routes", revision)
	change.Value = []byte{version}
	return change
}

// Guards against a balancer that takes its table for the newest one without a read that began after the packet had arrived.
func TestTableIsConfirmedByAReadThatStartsLater(t *testing.T) {
	g := NewWithT(t)
	fake := &watchFake{at: store.Version(12).InEra(1)}
	f := newConfirming(fake)
	g.Expect(f.confirmTable(context.Background())).To(Succeed())
	g.Expect(f.configurationVersion()).To(BeEquivalentTo(3))
	g.Expect(fake.after).To(Equal(store.Version(10).InEra(1)))
	fake.changes = []store.Change{tableChange('4', 13), tableChange('5', 14)}
	g.Expect(f.confirmTable(context.Background())).To(Succeed(), "the earlier read does not count")
	g.Expect(f.configurationVersion()).To(BeEquivalentTo(5), "the newer table is in force")
	fake.err = eris.New("unreachable")
	g.Expect(f.confirmTable(context.Background())).NotTo(Succeed())
}

// Guards against a reset by a balancer that is behind the reader which it has asked, and does not catch up.
func TestTableThatAReaderHasReplacedIsNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	f, reader := newConfirming(&watchFake{}), hop.IP{127, 30, 1, 2}
	g.Expect(f.compareTable(3, reader)).To(Succeed())
	g.Expect(f.compareTable(4, reader)).To(MatchError(errTableOutdated))
	source, ok := f.catchUpSources.TryGet()
	g.Expect(ok).To(BeTrue())
	g.Expect(source).To(Equal(catchUpSource{balancer: reader}))
}

// Guards against a reset after the store was restored from a copy that lacks the newest table, which other balancers still have.
func TestTableIsNotConfirmedBeforeARestoredStoreIsSettled(t *testing.T) {
	g := NewWithT(t)
	f := newConfirming(&watchFake{at: store.Version(12).InEra(2)})
	f.settlement.Observe(time.Now(), 2)
	g.Expect(f.confirmTable(context.Background())).To(MatchError(registry.ErrUnsettled))
}

// Guards against a table that is confirmed before the balancer has read the state of the store, so that it knows no changes of it.
func TestTableIsNotConfirmedBeforeTheStateIsKnown(t *testing.T) {
	g := NewWithT(t)
	f := newConfirming(&watchFake{})
	f.appliedRevision = 0
	g.Expect(f.confirmTable(context.Background())).NotTo(Succeed())
}
