package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// Guards against an agent that leaves an entry as another writer has replaced it, because balancers that know the target ping it.
func TestUnreadableEntryIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	entry := registry.Entry{Service: "pedidos", Zone: "quito", Slots: 5}
	var w registry.Writer
	w.SetDesired(entry)
	g.Expect(w.HandleUnreadable(now)).To(BeFalse(), "the entry is read anyway")
	g.Expect(w.HandleRead(nil, store.Version(0).InEra(1))).To(Succeed())
	first, _ := w.NextWrite()
	w.HandleWritten(first, store.Version(4).InEra(1))
	g.Expect(w.IsUpToDate()).To(BeTrue())
	g.Expect(w.HandleUnreadable(now)).To(BeTrue())
	g.Expect(w.HandleUnreadable(now.Add(time.Millisecond))).To(BeFalse(), "the read is due already")
	step, _ := w.Next(now)
	g.Expect(step).To(Equal(registry.Read))
	g.Expect(w.HandleRead([]byte("bytes of another writer"), store.Version(7).InEra(1))).NotTo(Succeed())
	step, _ = w.Next(now)
	g.Expect(step).To(Equal(registry.Write))
	g.Expect(w.NextWriteJoins()).To(BeFalse(), "its flows stay where they are")
	again, replaced := w.NextWrite()
	g.Expect(replaced).To(Equal(store.Version(7).InEra(1)))
	g.Expect(again.JoinVersion(store.Version(8).InEra(1))).To(Equal(store.Version(4).InEra(1)), "the target has not joined again")
	w.HandleWritten(again, store.Version(8).InEra(1))
	g.Expect(w.HandleUnreadable(now.Add(100*time.Millisecond))).To(BeFalse(), "another balancer says the same")
}
