package registry_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/registry"
	"gentianswitch/internal/store"
)

// versionIn returns the version of a revision in an era of the store.
func versionIn(era, revision uint64) store.Version { return store.Version(revision).InEra(era) }

// newWriter returns the Writer of a ready target whose entry was written in era 1 at revision 30.
func newWriter(t *testing.T) (*registry.Writer, registry.Entry) {
	t.Helper()
	var w registry.Writer
	w.SetDesired(ready)
	NewWithT(t).Expect(w.HandleRead(nil, versionIn(1, 0))).To(Succeed(), "no entry")
	e, _ := w.NextWrite()
	NewWithT(t).Expect(e.Era).To(BeEquivalentTo(1))
	w.RecordCall(start)
	w.HandleWritten(e, versionIn(1, 30))
	NewWithT(t).Expect(w.IsUpToDate()).To(BeTrue())
	return &w, e
}

// Guards against a target that is missing from a restored store for good: its agent relied on the acknowledged write.
func TestLostEntryIsWrittenAgainInTheNewEra(t *testing.T) {
	g := NewWithT(t)
	w, _ := newWriter(t)
	g.Expect(w.HandleReport(start, 1, 0)).To(BeFalse(), "the era has not risen")
	g.Expect(w.HandleReport(start, 2, time.Second)).To(BeTrue())
	g.Expect(w.HandleReport(start, 2, time.Second)).To(BeFalse(), "one read for each era")
	g.Expect(step(w)).To(Equal(registry.Idle), "the reads of a fleet are spread")
	next, _ := w.Next(start.Add(time.Second))
	g.Expect(next).To(Equal(registry.Read))
	g.Expect(w.HandleRead(nil, versionIn(2, 0))).To(Succeed())
	g.Expect(w.IsOutdated()).To(BeTrue())
	next, _ = w.Next(start.Add(time.Second))
	g.Expect(next).To(Equal(registry.Write))
	g.Expect(w.NextWriteJoins()).To(BeFalse(), "balancers know the target, and it has open flows")
	g.Expect(w.HadEntry()).To(BeTrue(), "earlier processes may have written an entry")
	e, replaced := w.NextWrite()
	g.Expect(replaced.Revision()).To(BeZero())
	g.Expect(e.Version(versionIn(2, 17))).To(Equal(versionIn(2, 17)))
	g.Expect(e.JoinVersion(versionIn(2, 17))).To(Equal(versionIn(1, 30)), "flows were placed by the order of joining")
	w.HandleWritten(e, versionIn(2, 17))
	g.Expect(w.IsUpToDate()).To(BeTrue())
}

// Guards against calls of every agent after a restoration that has lost nothing of them.
func TestEntryThatOutlastsRestorationIsNotWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	w, e := newWriter(t)
	w.HandleReport(start, 2, 0)
	handleRead(t, w, e, versionIn(2, 30))
	g.Expect(w.IsOutdated()).To(BeFalse())
	g.Expect(w.IsUpToDate()).To(BeTrue())
}

// Guards against a target that some balancers believe to have left: they know a later removal than the restored entry, which
// says what the target says now.
func TestOlderEntryIsReplacedThoughItSaysTheSame(t *testing.T) {
	g := NewWithT(t)
	w, e := newWriter(t)
	w.HandleReport(start, 2, 0)
	handleRead(t, w, e, versionIn(2, 5))
	g.Expect(w.IsUpToDate()).To(BeFalse())
	g.Expect(step(w)).To(Equal(registry.Write))
	rewritten, replaced := w.NextWrite()
	g.Expect(replaced).To(Equal(versionIn(2, 5)))
	g.Expect(rewritten.Version(versionIn(2, 17))).To(Equal(versionIn(2, 17)))
}

// Guards against a write that the store executed after it was restored: it names the wrong era, and would look older than lost
// entries.
func TestWriteThatRacedWithARestorationIsRepeated(t *testing.T) {
	g := NewWithT(t)
	w, _ := newWriter(t)
	w.SetDesired(draining)
	e, _ := w.NextWrite()
	w.HandleWritten(e, versionIn(2, 31))
	g.Expect(step(w)).To(Equal(registry.Write))
	repeated, replaced := w.NextWrite()
	g.Expect(replaced).To(Equal(versionIn(2, 31)))
	g.Expect(repeated.Era).To(BeEquivalentTo(2))
	g.Expect(repeated.JoinVersion(versionIn(2, 32))).To(Equal(versionIn(1, 30)))
	w.HandleWritten(repeated, versionIn(2, 32))
	g.Expect(w.IsUpToDate()).To(BeTrue())
}

// Guards against a target that no balancer knows after all of them have restarted on a restored store: nobody reports the new
// era to its agent.
func TestEntryIsCheckedLessAndLessOftenWhileNoBalancerReports(t *testing.T) {
	g := NewWithT(t)
	w, e := newWriter(t)
	w.SetHasFlows(true)
	now := start
	var intervals []time.Duration
	for range 7 {
		due := dueCheck(g, w, now)
		intervals, now = append(intervals, due.Sub(now)), due
		w.RecordCall(now)
		handleRead(t, w, e, versionIn(1, 30))
	}
	g.Expect(slices.IsSorted(intervals)).To(BeTrue())
	g.Expect(intervals[0]).To(BeNumerically("<", 5*time.Second))
	g.Expect(intervals[6]).To(BeNumerically("<=", 3*time.Minute))
	w.HandleReport(now, 1, 0)
	due := dueCheck(g, w, now)
	g.Expect(due.Sub(now)).To(Equal(intervals[0]))
	w.HandleFailedRead(due)
	g.Expect(w.IsUpToDate()).To(BeTrue(), "a failed check changes nothing")
	next, _ := w.Next(due)
	g.Expect(next).To(Equal(registry.Idle))
}

// dueCheck returns the time at which the entry is read again.
func dueCheck(g *WithT, w *registry.Writer, now time.Time) time.Time {
	for range 1000 {
		next, wait := w.Next(now)
		if next == registry.Read {
			return now
		}
		g.Expect(wait).To(BeNumerically(">", 0))
		now = now.Add(wait)
	}
	g.Expect(true).To(BeFalse(), "the entry is never read again")
	return now
}

func TestTargetWithoutFlowsIsCheckedRarely(t *testing.T) {
	g := NewWithT(t)
	w, _ := newWriter(t)
	idle := dueCheck(g, w, start)
	w.SetHasFlows(true)
	g.Expect(idle.Sub(start)).To(BeNumerically(">=", 5*dueCheck(g, w, start).Sub(start)))
}

func TestReportsOfBalancersThatLagBehindAreIgnored(t *testing.T) {
	g := NewWithT(t)
	w, _ := newWriter(t)
	w.HandleReport(start, 2, 0)
	g.Expect(w.HandleRead(nil, versionIn(2, 0))).To(Succeed())
	e, _ := w.NextWrite()
	w.HandleWritten(e, versionIn(2, 17))
	due := dueCheck(g, w, start)
	g.Expect(w.HandleReport(start.Add(time.Second), 1, 0)).To(BeFalse())
	g.Expect(dueCheck(g, w, start)).To(Equal(due), "a balancer of an earlier era does not confirm the entry")
}
