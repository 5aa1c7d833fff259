package directory_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// versionIn returns the version of a revision in an era of the store.
func versionIn(era, revision uint64) store.Version { return store.Version(revision).InEra(era) }

// entryIn returns an entry that was written in an era of the store.
func entryIn(era uint64, service string) registry.Entry {
	return registry.Entry{Service: service, Zone: "quito", Slots: 5, Era: era}
}

func hasTarget(d *directory.Directory, ip hop.IP) bool {
	_, isKnown := d.Lookup(ip)
	return isKnown
}

// Guards against resets of flows whose target a restored store has lost: the target was removed from the view, and its agent
// had not written its entry again yet.
func TestTargetThatRestoredStoreLacksStaysKnown(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	d.HandleEntry(start, agent(1), entryIn(1, "pedidos"), versionIn(1, 5))
	d.HandleEntry(start, agent(2), entryIn(1, "pedidos"), versionIn(1, 30))
	g.Expect(d.Retain(map[hop.IP]struct{}{agent(1): {}}, versionIn(2, 10))).To(BeEmpty())
	g.Expect(hasTarget(d, agent(2))).To(BeTrue())
	g.Expect(d.HasReachableLost()).To(BeTrue())
	_, hasChanged := d.HandleEntry(start, agent(2), entryIn(2, "pedidos"), versionIn(2, 12))
	g.Expect(hasChanged).To(BeTrue(), "the agent has written it again")
	g.Expect(d.HasReachableLost()).To(BeFalse())
	g.Expect(d.Retain(nil, versionIn(2, 11))).To(BeEmpty(), "the entries are of an earlier era, or newer than the list")
	g.Expect(d.Retain(nil, versionIn(2, 13))).To(HaveLen(1), "the entry was deleted in this era")
}

// Guards against new flows at a target that has left, and at the former owner of an address that another service has now: the
// restored store shows their entries again, with the lower revisions of the copy.
func TestOlderEntryOfRestoredStoreIsIgnored(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	d.HandleEntry(start, agent(1), entryIn(1, "pedidos"), versionIn(1, 5))
	d.HandleRemoval(agent(1), versionIn(1, 30))
	d.HandleEntry(start, agent(2), entryIn(1, "pedidos"), versionIn(1, 6))
	d.HandleEntry(start, agent(2), entryIn(1, "mensajes-voz"), versionIn(1, 31))
	for n, revision := range map[byte]uint64{1: 5, 2: 6} {
		_, hasChanged := d.HandleEntry(start, agent(n), entryIn(1, "pedidos"), versionIn(2, revision))
		g.Expect(hasChanged).To(BeFalse())
	}
	g.Expect(hasTarget(d, agent(1))).To(BeFalse())
	g.Expect(d.HasReachableLost()).To(BeTrue(), "balancers that start now know the former owner of the address only")
	reused, _ := d.Lookup(agent(2))
	g.Expect(reused.Entry.Service).To(Equal("mensajes-voz"))
}

// Guards against a candidate search that leaves out a target: the order in which targets joined must not change when a store is
// restored, since flows were placed by that order.
func TestJoinOrderOutlastsRestoration(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	rewritten := entryIn(2, "pedidos")
	rewritten.Joined, rewritten.JoinedEra = 30, 1
	d.HandleEntry(start, agent(3), entryIn(2, "pedidos"), versionIn(2, 11))
	d.HandleEntry(start, agent(2), rewritten, versionIn(2, 12))
	d.HandleEntry(start, agent(1), entryIn(1, "pedidos"), versionIn(2, 5))
	var order []hop.IP
	for _, c := range d.View().Pool(service) {
		order = append(order, c.Agent)
	}
	g.Expect(order).To(Equal([]hop.IP{agent(1), agent(2), agent(3)}))
}

// Guards against resets of open flows: a balancer that had the state of another one, and did not list the restored store
// itself, believed that it had lost nothing, and settled its era.
func TestLossThatAnotherBalancerHasFoundCounts(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(self, "quito")
	d.HandleEntry(start, agent(1), entryIn(1, "pedidos"), versionIn(1, 30))
	d.MarkLost(agent(1), versionIn(1, 29))
	g.Expect(d.HasReachableLost()).To(BeFalse(), "an earlier entry was lost")
	d.MarkLost(agent(1), versionIn(1, 30))
	g.Expect(d.HasReachableLost()).To(BeTrue())
}
