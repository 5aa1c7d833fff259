package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// settleDelay is the additional delay of the balancers in these tests.
const settleDelay = time.Second

func eraItem(value string, version store.Version) store.Item {
	return store.Item{Key: registry.EraKey, Value: []byte(value), Version: version}
}

func list(t *testing.T, s *registry.Settlement, now time.Time, at store.Version, items ...store.Item) {
	t.Helper()
	NewWithT(t).Expect(s.HandleList(now, items, at)).To(Succeed())
}

// Guards against resets of open flows whose target is missing from a restored store: the balancer took the list for complete.
func TestRestoredStoreIsNotSettledUntilAgentsHadTimeToWrite(t *testing.T) {
	g := NewWithT(t)
	s := registry.NewSettlement(settleDelay)
	list(t, s, start, versionIn(1, 40), eraItem("1", versionIn(1, 3)))
	g.Expect(s.IsSettled()).To(BeTrue())
	list(t, s, start, versionIn(2, 20), eraItem("1", versionIn(2, 3)))
	g.Expect(s.IsSettled()).To(BeFalse())
	_, isDue := s.NextRecord(start.Add(registry.SettleTime))
	g.Expect(isDue).To(BeFalse())
	due := start.Add(registry.SettleTime + settleDelay)
	item, isDue := s.NextRecord(due)
	g.Expect(isDue).To(BeTrue())
	g.Expect(item).To(Equal(eraItem("2", versionIn(2, 3))))
	_, isDue = s.NextRecord(due)
	g.Expect(isDue).To(BeFalse(), "the write is in progress or has failed")
	g.Expect(s.HandleRecorded(eraItem("2", versionIn(2, 30)))).To(Succeed())
	g.Expect(s.IsSettled()).To(BeTrue())
}

// Guards against a balancer that starts on a restored store and takes it for complete: it has not seen the earlier era.
func TestBalancerThatStartsOnRestoredStoreWaits(t *testing.T) {
	for name, item := range map[string]store.Item{
		"earlier era settled": eraItem("1", versionIn(2, 3)),
		"no era settled":      {Key: registry.ChangesKey, Version: versionIn(2, 7)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := registry.NewSettlement(settleDelay)
			list(t, s, start, versionIn(2, 20), item)
			g.Expect(s.IsSettled()).To(BeFalse())
			_, isDue := s.NextRecord(start.Add(registry.SettleTime))
			g.Expect(isDue).To(BeFalse())
		})
	}
}

// Guards against resets of open flows by a balancer that starts on a store that was restored from before the first entry.
func TestEmptyStoreThatWasRestoredIsNotSettledAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := registry.NewSettlement(settleDelay)
	list(t, s, start, versionIn(2, 2))
	g.Expect(s.IsSettled()).To(BeFalse())
	_, isDue := s.NextRecord(start.Add(registry.SettleTime))
	g.Expect(isDue).To(BeFalse())
}

func TestNewDeploymentIsSettledAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := registry.NewSettlement(settleDelay)
	list(t, s, start, versionIn(1, 2))
	g.Expect(s.IsSettled()).To(BeTrue())
	item, isDue := s.NextRecord(start.Add(settleDelay))
	g.Expect(isDue).To(BeTrue())
	g.Expect(item).To(Equal(eraItem("1", versionIn(1, 0))))
	g.Expect(s.HandleRecorded(eraItem("1", versionIn(1, 9)))).To(Succeed(), "another balancer was first")
	_, isDue = s.NextRecord(start.Add(settleDelay + time.Minute))
	g.Expect(isDue).To(BeFalse())
	list(t, s, start, versionIn(2, 2))
	g.Expect(s.IsSettled()).To(BeFalse(), "the copy is from before the first entry")
	_, isDue = s.NextRecord(start.Add(settleDelay))
	g.Expect(isDue).To(BeFalse())
}

func TestOutageExtendsTheTimeUntilAnEraIsSettled(t *testing.T) {
	g := NewWithT(t)
	s := registry.NewSettlement(0)
	s.HandleOutage(start)
	list(t, s, start, versionIn(2, 20), eraItem("1", versionIn(2, 3)))
	s.HandleOutage(start.Add(10 * time.Second))
	_, isDue := s.NextRecord(start.Add(registry.SettleTime))
	g.Expect(isDue).To(BeFalse())
	_, isDue = s.NextRecord(start.Add(10*time.Second + registry.SettleTime))
	g.Expect(isDue).To(BeTrue())
}

func TestSettledEraIsLearnedFromOtherBalancers(t *testing.T) {
	g := NewWithT(t)
	s := registry.NewSettlement(0)
	s.Observe(start, 2)
	s.HandleSettled(1)
	g.Expect(s.IsSettled()).To(BeFalse())
	s.HandleSettled(2)
	g.Expect(s.IsSettled()).To(BeTrue())
}

func TestInvalidSettledEraIsAnError(t *testing.T) {
	for _, value := range []string{"", "two", "3", "-1"} {
		s := registry.NewSettlement(0)
		s.Observe(start, 2)
		NewWithT(t).Expect(s.HandleRecorded(eraItem(value, versionIn(2, 3)))).NotTo(Succeed(), "%q in era 2", value)
		NewWithT(t).Expect(s.IsSettled()).To(BeFalse())
	}
}

// Guards against an agent that takes its flow table for complete because a restored store lacks the entry of an earlier process.
func TestStoreMayLackEntriesUntilItsEraIsSettled(t *testing.T) {
	for name, test := range map[string]struct {
		item    store.Item
		mayLack bool
	}{
		"none settled":    {eraItem("", versionIn(2, 0)), true},
		"earlier settled": {eraItem("1", versionIn(2, 3)), true},
		"settled":         {eraItem("2", versionIn(2, 30)), false},
	} {
		t.Run(name, func(t *testing.T) {
			mayLack, err := registry.MayLackEntries(test.item)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(mayLack).To(Equal(test.mayLack))
		})
	}
	NewWithT(t).Expect(registry.IsNeverRestored(versionIn(1, 0))).To(BeTrue())
	NewWithT(t).Expect(registry.IsNeverRestored(versionIn(2, 0))).To(BeFalse())
}
