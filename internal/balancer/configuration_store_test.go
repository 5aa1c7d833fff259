package balancer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/revision"
	"gentianswitch/internal/store"
)

// scriptedStore answers Watch calls with its entry. Other calls are not expected.
type scriptedStore struct {
	store.Store
	entry store.Entry
}

func (s *scriptedStore) Watch(context.Context, string, store.Version, time.Duration) (store.Entry, error) {
	return s.entry, nil
}

// headEntry returns the entry of a head whose only change added a pool.
func headEntry(t *testing.T, version store.Version, number uint64, changeID string) store.Entry {
	t.Helper()
	id := revision.ID{Number: number, ChangeID: changeID}
	head := revision.Head{ID: id, Log: []revision.Entry{{ID: id}}}
	raw, err := head.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return store.Entry{Value: raw, Version: version}
}

// Guards against a change that a balancer misses: the store was restored from a copy, and the head got its former version again.
func TestHeadWithTheVersionOfALostOneIsApplied(t *testing.T) {
	g := NewWithT(t)
	b := newPathBalancer(t, netip.Addr{})
	s := &scriptedStore{entry: headEntry(t, 1, 1, "lost")}
	b.store = s
	r := newStoreReader(b)
	g.Expect(r.waitForChange(context.Background())).To(Succeed())
	g.Expect(b.currentRevision().ChangeID).To(Equal("lost"))
	s.entry = headEntry(t, 1, 2, "next")
	g.Expect(r.waitForChange(context.Background())).To(Succeed())
	g.Expect(b.currentRevision().ChangeID).To(Equal("next"))
}
