package readers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/readers"
)

const (
	group = 7
	tick  = 75 * time.Millisecond
	// reportInterval is the time between two reports of a balancer to an agent.
	reportInterval = 500 * time.Millisecond
	// maxWatchWait is the longest time for which the store holds a reader's watch call, watchSlack the additional time after
	// which an answer is late, and watchFailure the time after which the call fails.
	maxWatchWait = time.Second
	watchSlack   = 350 * time.Millisecond
	watchFailure = maxWatchWait + 900*time.Millisecond
	// convergenceBound is the time in which every balancer that reaches the store or a hub knows a change, in a fleet without
	// faults.
	convergenceBound = 3 * time.Second
)

var start = time.Unix(1_700_000_000, 0)

// balancer simulates a balancer of the group.
type balancer struct {
	ip           hop.IP
	selector     *readers.Selector
	revision     uint64
	nextReportAt time.Time
	// callStartedAt is the start of its call to the store, or zero while it waits until nextCallAt for the next one.
	callStartedAt, nextCallAt time.Time
	isDown                    bool
	// isStoreCut is set while the store does not answer it, hasLostStore from a failed call until one succeeds.
	isStoreCut, hasLostStore bool
	suspendedUntil           time.Time
	wasWatching              bool
}

// isWatching returns what the balancer reports of itself.
func (b *balancer) isWatching(now time.Time) bool {
	isLate := !b.callStartedAt.IsZero() && now.Sub(b.callStartedAt) > maxWatchWait+watchSlack
	return b.selector.IsReader() && !b.hasLostStore && !isLate && b.revision > 0
}

// fleet is a group of balancers with its hubs and the store.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	// revision is the current revision of the store.
	revision  uint64
	balancers []*balancer
	hubs      []*readers.Hub
	calls     int
	// changedAt is the time of the last change of the store.
	changedAt time.Time
}

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, revision: 1, changedAt: start}
	for i := range size {
		b := &balancer{ip: hop.IP{10, 1, byte(i / 250), byte(i%250 + 1)}}
		f.restart(b)
		f.balancers = append(f.balancers, b)
	}
	for range 3 {
		f.hubs = append(f.hubs, readers.NewHub())
	}
	return f
}

func (f *fleet) restart(b *balancer) {
	b.selector, b.revision, b.isDown, b.hasLostStore = readers.NewSelector(b.ip), 0, false, false
	b.nextReportAt, b.callStartedAt, b.nextCallAt = f.now, time.Time{}, f.now
}

// step advances the model by one tick.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for _, b := range f.balancers {
		if b.isDown || f.now.Before(b.suspendedUntil) {
			continue
		}
		before := b.revision
		b.selector.Tick(f.now)
		f.read(b)
		if isWatching := b.isWatching(f.now); isWatching != b.wasWatching || !f.now.Before(b.nextReportAt) {
			b.wasWatching = isWatching
			f.report(b)
		}
		if b.revision < before {
			f.t.Fatalf("balancer %v went from revision %d to %d", b.ip, before, b.revision)
		}
	}
}

// read simulates the balancer's calls to the store.
func (f *fleet) read(b *balancer) {
	switch {
	case b.callStartedAt.IsZero():
		if (b.selector.IsReader() || b.revision == 0) && !f.now.Before(b.nextCallAt) {
			b.callStartedAt = f.now
			f.calls++
		}
	case b.isStoreCut:
		if f.now.Sub(b.callStartedAt) >= watchFailure {
			b.callStartedAt, b.hasLostStore, b.nextCallAt = time.Time{}, true, f.now.Add(time.Second)
		}
	case f.revision > b.revision:
		// The starts of two calls are at least a second apart.
		b.revision, b.hasLostStore = f.revision, false
		b.callStartedAt, b.nextCallAt = time.Time{}, b.callStartedAt.Add(maxWatchWait)
		f.report(b)
	case f.now.Sub(b.callStartedAt) >= maxWatchWait:
		b.callStartedAt, b.hasLostStore = time.Time{}, false
	}
}

// report simulates a ping to each hub and its consequences.
func (f *fleet) report(b *balancer) {
	b.nextReportAt = f.now.Add(reportInterval)
	r := hop.BalancerStatus{Group: group, IsWatching: b.isWatching(f.now), Revision: b.revision}
	for i, hub := range f.hubs {
		update := hub.HandleStatus(f.now, b.ip, r)
		f.deliverStatus(b, i)
		if update == readers.NoUpdate {
			continue
		}
		for _, member := range hub.Recipients(f.now, update, r) {
			for _, other := range f.balancers {
				if other.ip == member && !other.isDown && !f.now.Before(other.suspendedUntil) {
					f.deliverStatus(other, i)
				}
			}
		}
	}
}

// deliverStatus simulates the arrival of a hub's status at a balancer, and the state that the balancer fetches because of it.
func (f *fleet) deliverStatus(b *balancer, hub int) {
	b.selector.HandleGroupStatus(f.now, hop.IP{10, 2, 0, byte(hub)}, f.hubs[hub].Readers(f.now, group))
	from, isBehind := b.selector.ReaderAhead(b.revision)
	if !isBehind || b.isWatching(f.now) {
		return
	}
	for _, other := range f.balancers {
		if other.ip == from && !other.isDown && !f.now.Before(other.suspendedUntil) {
			b.revision = max(b.revision, other.revision)
		}
	}
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.step()
	}
}

func (f *fleet) countReaders() (count int) {
	for _, b := range f.balancers {
		if !b.isDown && b.selector.IsReader() {
			count++
		}
	}
	return count
}

func (f *fleet) countBehind() (count int) {
	for _, b := range f.balancers {
		if !b.isDown && b.revision != f.revision {
			count++
		}
	}
	return count
}

func TestGroupWithoutFaultsHasTwoReadersAtAnySize(t *testing.T) {
	for _, size := range []int{1, 2, 3, 20, 60} {
		g := NewWithT(t)
		f := newFleet(t, 1, size)
		f.run(10 * time.Second)
		g.Expect(f.countReaders()).To(Equal(min(size, 2)), "%d balancers", size)
		before := f.calls
		f.run(20 * time.Second)
		g.Expect(f.calls-before).To(BeNumerically("<=", 2*21), "the number of calls does not depend on the number of balancers")
	}
}

func TestChangeReachesTheWholeGroup(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 2, 60)
	f.run(10 * time.Second)
	f.revision++
	f.run(maxWatchWait + 2*tick)
	g.Expect(f.countBehind()).To(BeZero())
}

// All readers fail at the time of a change.
func TestChangeReachesTheGroupWhenAllReadersFail(t *testing.T) {
	faults := map[string]func(f *fleet, b *balancer){
		"killed":                 func(_ *fleet, b *balancer) { b.isDown = true },
		"suspended":              func(f *fleet, b *balancer) { b.suspendedUntil = f.now.Add(time.Minute) },
		"cut off from the store": func(_ *fleet, b *balancer) { b.isStoreCut = true },
		"restarted":              func(f *fleet, b *balancer) { f.restart(b) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				g := NewWithT(t)
				f := newFleet(t, seed, 40)
				f.run(8*time.Second + time.Duration(seed)*tick)
				failed := 0
				for _, b := range f.balancers {
					if b.selector.IsReader() {
						fault(f, b)
						failed++
					}
				}
				f.revision++
				f.run(convergenceBound)
				g.Expect(f.countBehind()).To(BeNumerically("<=", failed), "the failed balancers may be behind")
			}
		})
	}
}

// The store answers only three of the balancers; the others learn of the change from them.
func TestBalancerCutOffFromTheStoreLearnsChangesFromItsGroup(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 3, 20)
	for _, b := range f.balancers[3:] {
		b.isStoreCut = true
	}
	f.run(6 * time.Second)
	f.revision++
	f.run(maxWatchWait + 4*tick)
	g.Expect(f.countBehind()).To(BeZero())
}

// TestGroupRecoversFromRandomFaults applies random faults. After each time without faults every balancer must know the last
// change and there must be one or two readers. At no step may the revision of a balancer decrease.
func TestGroupRecoversFromRandomFaults(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(t, seed, 3+int(seed%25))
		for range 12 {
			f.injectFault()
			f.run(time.Duration(f.random.IntN(3000)) * time.Millisecond)
		}
		for _, b := range f.balancers {
			b.isStoreCut, b.suspendedUntil = false, time.Time{}
			if b.isDown {
				f.restart(b)
			}
		}
		f.run(2 * convergenceBound)
		f.revision++
		f.run(convergenceBound)
		g := NewWithT(t)
		g.Expect(f.countBehind()).To(BeZero(), "seed %d", seed)
		f.run(2 * convergenceBound)
		g.Expect(f.countReaders()).To(BeNumerically("<=", 2), "seed %d", seed)
		g.Expect(f.countReaders()).To(BeNumerically(">=", 1), "seed %d", seed)
	}
}

// injectFault applies a random fault to the fleet, or changes the store.
func (f *fleet) injectFault() {
	b := f.balancers[f.random.IntN(len(f.balancers))]
	switch f.random.IntN(7) {
	case 0:
		b.isDown = true
	case 1:
		f.restart(b)
	case 2:
		b.suspendedUntil = f.now.Add(time.Duration(f.random.IntN(10_000)) * time.Millisecond)
	case 3:
		for _, other := range f.balancers {
			other.isStoreCut = f.random.IntN(3) == 0
		}
	case 4:
		f.hubs[f.random.IntN(len(f.hubs))] = readers.NewHub()
	case 5:
		for _, other := range f.balancers {
			if f.random.IntN(2) == 0 {
				f.restart(other)
			}
		}
	default:
		f.revision++
	}
}

func TestHubIsBounded(t *testing.T) {
	g := NewWithT(t)
	hub := readers.NewHub()
	for i := range 1000 {
		hub.HandleStatus(start, hop.IP{10, 1, byte(i / 250), byte(i % 250)},
			hop.BalancerStatus{Group: group, IsWatching: true, Revision: 5})
	}
	g.Expect(len(hub.Recipients(start, readers.RevisionAdvanced, hop.BalancerStatus{Group: group, Revision: 6}))).
		To(BeNumerically("<=", 256))
	g.Expect(hub.Readers(start, group)).To(HaveLen(hop.MaxReaders))
	g.Expect(hub.Readers(start, group+1)).To(BeEmpty())
	g.Expect(hub.Readers(start.Add(4*time.Second), group)).To(BeEmpty(), "balancers without a recent report do not count")
}

func TestHubAnnouncesOnlyHigherRevisionsAndStoppedReaders(t *testing.T) {
	g := NewWithT(t)
	hub := readers.NewHub()
	one, other := hop.IP{10, 1, 0, 1}, hop.IP{10, 1, 0, 2}
	watching := hop.BalancerStatus{Group: group, IsWatching: true, Revision: 5}
	g.Expect(hub.HandleStatus(start, one, watching)).To(Equal(readers.RevisionAdvanced))
	g.Expect(hub.HandleStatus(start, other, watching)).To(Equal(readers.NoUpdate))
	watching.Revision = 6
	g.Expect(hub.HandleStatus(start, one, watching)).To(Equal(readers.RevisionAdvanced))
	g.Expect(hub.HandleStatus(start, other, hop.BalancerStatus{Group: group, Revision: 7})).To(Equal(readers.ReaderStopped))
	g.Expect(hub.HandleStatus(start, other, hop.BalancerStatus{Group: group, Revision: 7})).
		To(Equal(readers.NoUpdate), "it was not watching")
	g.Expect(hub.HandleStatus(start, other, hop.BalancerStatus{IsWatching: true, Revision: 9})).
		To(Equal(readers.NoUpdate), "it has no group at this hub")
}

func TestAllBalancersOfAGroupPreferTheSameReader(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 4, 12)
	f.run(6 * time.Second)
	asked := map[hop.IP]int{}
	watching := 0
	for _, b := range f.balancers {
		first, isOther := b.selector.PreferredReader(f.now, b.isWatching(f.now))
		if isOther {
			asked[first]++
			continue
		}
		asked[b.ip]++
		watching++
		g.Expect(b.selector.IsReader()).To(BeTrue(), "only a reader sends no request")
	}
	g.Expect(asked).To(HaveLen(1))
	g.Expect(watching).To(Equal(1))
}
