package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/directory"
	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// Each case guards against a view that counts as complete although it lacks a target whose entry cannot be decoded, or against one that
// never counts as complete again.
func TestViewLacksTheTargetOfAnUnreadableEntry(t *testing.T) {
	at, other := hop.IP{10, 1, 0, 1}, hop.IP{10, 1, 0, 2}
	entry := registry.Entry{Service: "pedidos", Slots: 5}
	now := time.Unix(1_700_000_000, 0)
	for name, test := range map[string]struct {
		before, after func(d *directory.Directory)
		lacks         bool
	}{
		"the balancer has just started":             {lacks: true},
		"the target is known":                       {before: func(d *directory.Directory) { d.HandleEntry(now, at, entry, store.Version(4)) }},
		"the target is known from another balancer": {after: func(d *directory.Directory) { d.HandleEntry(now, at, entry, store.Version(4)) }},
		"a late answer":                             {before: func(d *directory.Directory) { d.HandleEntry(now, at, entry, store.Version(6)) }},
		"the target had left":                       {before: func(d *directory.Directory) { d.HandleRemoval(at, store.Version(6)) }},
		"the agent has written its entry again":     {after: func(d *directory.Directory) { d.HandleEntry(now, at, entry, store.Version(6)) }},
		"the key was deleted":                       {after: func(d *directory.Directory) { d.HandleRemoval(at, store.Version(6)) }},
		"a later list lacks the key":                {after: func(d *directory.Directory) { d.Retain(nil, store.Version(6)) }},
		"a later list has the key": {
			after: func(d *directory.Directory) { d.Retain(map[hop.IP]struct{}{at: {}}, store.Version(6)) }, lacks: true,
		},
		"another target has a new entry": {after: func(d *directory.Directory) { d.HandleEntry(now, other, entry, store.Version(6)) }, lacks: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := directory.New(hop.IP{10, 1, 0, 9}, "quito")
			if test.before != nil {
				test.before(d)
			}
			d.HandleUnreadable(now, at, store.Version(5))
			if test.after != nil {
				test.after(d)
			}
			g.Expect(d.LacksTarget(now)).To(Equal(test.lacks))
			g.Expect(d.LacksTarget(now.Add(registry.SettleTime))).To(BeFalse(), "no agent is there that writes it again")
		})
	}
}

// Guards against an agent that never learns that its entry was replaced, while its target is in use, and against a flood of notices.
func TestAgentIsToldEachSecondThatItsEntryIsUnreadable(t *testing.T) {
	g := NewWithT(t)
	at, now := hop.IP{10, 1, 0, 1}, time.Unix(1_700_000_000, 0)
	d := directory.New(hop.IP{10, 1, 0, 9}, "quito")
	d.HandleEntry(now, at, registry.Entry{Service: "pedidos", Slots: 5}, store.Version(4))
	d.HandleUnreadable(now, at, store.Version(5))
	g.Expect(d.DueNotices(now)).To(Equal([]hop.IP{at}))
	d.HandleUnreadable(now, at, store.Version(5))
	g.Expect(d.DueNotices(now.Add(999 * time.Millisecond))).To(BeEmpty())
	g.Expect(d.DueNotices(now.Add(time.Second))).To(Equal([]hop.IP{at}), "a notice can be lost")
	g.Expect(d.DueNotices(now.Add(registry.SettleTime))).To(BeEmpty())
}
