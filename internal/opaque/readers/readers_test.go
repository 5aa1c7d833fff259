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
	// renewal is the longest time for which a reader's call to the store waits, slack that after which an answer is late,
	// and failure that after which the call fails.
	renewal = time.Second
	slack   = 350 * time.Millisecond
	failure = renewal + 900*time.Millisecond
	// bound is the time in which each balancer that reaches the store or an agent knows a change, in a calm fleet.
	bound = 3 * time.Second
)

var start = time.Unix(1_700_000_000, 0)

// balancer is a balancer of the model.
type balancer struct {
	ip       hop.IP
	choice   *readers.Selector
	revision uint64
	reportAt time.Time
	// askedAt is when its call to the store began, or zero while it rests until restUntil.
	askedAt, restUntil time.Time
	isDown             bool
	// isCut is set while the store does not serve it; isLost once a call has failed.
	isCut, isLost bool
	frozenUntil   time.Time
	wasServed     bool
}

// isServed is what the balancer reports of itself.
func (b *balancer) isServed(now time.Time) bool {
	isLate := !b.askedAt.IsZero() && now.Sub(b.askedAt) > renewal+slack
	return b.choice.IsReader() && !b.isLost && !isLate && b.revision > 0
}

// fleet is a group with its agents and the store.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	store     uint64
	balancers []*balancer
	agents    []*readers.Hub
	calls     int
	// changedAt is when the store has last changed.
	changedAt time.Time
}

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start, store: 1, changedAt: start}
	for i := range size {
		b := &balancer{ip: hop.IP{10, 1, byte(i / 250), byte(i%250 + 1)}}
		f.restart(b)
		f.balancers = append(f.balancers, b)
	}
	for range 3 {
		f.agents = append(f.agents, readers.NewHub())
	}
	return f
}

func (f *fleet) restart(b *balancer) {
	b.choice, b.revision, b.isDown, b.isLost = readers.NewSelector(b.ip), 0, false, false
	b.reportAt, b.askedAt, b.restUntil = f.now, time.Time{}, f.now
}

// step lets a tick pass.
func (f *fleet) step() {
	f.now = f.now.Add(tick)
	for _, b := range f.balancers {
		if b.isDown || f.now.Before(b.frozenUntil) {
			continue
		}
		before := b.revision
		b.choice.Tick(f.now)
		f.read(b)
		if isServed := b.isServed(f.now); isServed != b.wasServed || !f.now.Before(b.reportAt) {
			b.wasServed = isServed
			f.report(b)
		}
		if b.revision < before {
			f.t.Fatalf("balancer %v went from revision %d to %d", b.ip, before, b.revision)
		}
	}
}

// read plays the balancer's calls to the store.
func (f *fleet) read(b *balancer) {
	switch {
	case b.askedAt.IsZero():
		if (b.choice.IsReader() || b.revision == 0) && !f.now.Before(b.restUntil) {
			b.askedAt = f.now
			f.calls++
		}
	case b.isCut:
		if f.now.Sub(b.askedAt) >= failure {
			b.askedAt, b.isLost, b.restUntil = time.Time{}, true, f.now.Add(time.Second)
		}
	case f.store > b.revision:
		// Calls are a second apart.
		b.revision, b.isLost = f.store, false
		b.askedAt, b.restUntil = time.Time{}, b.askedAt.Add(renewal)
		f.report(b)
	case f.now.Sub(b.askedAt) >= renewal:
		b.askedAt, b.isLost = time.Time{}, false
	}
}

// report plays a ping of each agent and what follows from it.
func (f *fleet) report(b *balancer) {
	b.reportAt = f.now.Add(reportInterval)
	r := hop.BalancerStatus{Group: group, IsWatching: b.isServed(f.now), Revision: b.revision}
	for i, agent := range f.agents {
		news := agent.HandleStatus(f.now, b.ip, r)
		f.hear(b, i)
		if news == readers.NoUpdate {
			continue
		}
		for _, member := range agent.Recipients(f.now, news, r) {
			for _, other := range f.balancers {
				if other.ip == member && !other.isDown && !f.now.Before(other.frozenUntil) {
					f.hear(other, i)
				}
			}
		}
	}
}

// hear plays the bulletin of an agent, and the state that the balancer fetches for it.
func (f *fleet) hear(b *balancer, agent int) {
	b.choice.HandleGroupStatus(f.now, hop.IP{10, 2, 0, byte(agent)}, f.agents[agent].Readers(f.now, group))
	from, isBehind := b.choice.ReaderAhead(b.revision)
	if !isBehind || b.isServed(f.now) {
		return
	}
	for _, other := range f.balancers {
		if other.ip == from && !other.isDown && !f.now.Before(other.frozenUntil) {
			b.revision = max(b.revision, other.revision)
		}
	}
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.step()
	}
}

func (f *fleet) readers() (count int) {
	for _, b := range f.balancers {
		if !b.isDown && b.choice.IsReader() {
			count++
		}
	}
	return count
}

func (f *fleet) behind() (count int) {
	for _, b := range f.balancers {
		if !b.isDown && b.revision != f.store {
			count++
		}
	}
	return count
}

func TestACalmGroupHasTwoReadersWhateverItsSize(t *testing.T) {
	for _, size := range []int{1, 2, 3, 20, 60} {
		g := NewWithT(t)
		f := newFleet(t, 1, size)
		f.run(10 * time.Second)
		g.Expect(f.readers()).To(Equal(min(size, 2)), "%d balancers", size)
		before := f.calls
		f.run(20 * time.Second)
		g.Expect(f.calls-before).To(BeNumerically("<=", 2*21), "calls do not rise with the balancers")
	}
}

func TestAChangeReachesTheGroupAtOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 2, 60)
	f.run(10 * time.Second)
	f.store++
	f.run(renewal + 2*tick)
	g.Expect(f.behind()).To(BeZero())
}

// The pattern is the loss of all that read, in the moment of a change.
func TestAChangeReachesTheGroupWhenItsReadersAreGone(t *testing.T) {
	faults := map[string]func(f *fleet, b *balancer){
		"killed":      func(_ *fleet, b *balancer) { b.isDown = true },
		"frozen":      func(f *fleet, b *balancer) { b.frozenUntil = f.now.Add(time.Minute) },
		"not served":  func(_ *fleet, b *balancer) { b.isCut = true },
		"started new": func(f *fleet, b *balancer) { f.restart(b) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				g := NewWithT(t)
				f := newFleet(t, seed, 40)
				f.run(8*time.Second + time.Duration(seed)*tick)
				gone := 0
				for _, b := range f.balancers {
					if b.choice.IsReader() {
						fault(f, b)
						gone++
					}
				}
				f.store++
				f.run(bound)
				g.Expect(f.behind()).To(BeNumerically("<=", gone), "those that are disturbed may be behind")
			}
		})
	}
}

// A balancer that the store does not serve learns from its group.
func TestABalancerThatIsNotServedFollowsItsGroup(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 3, 20)
	for _, b := range f.balancers[3:] {
		b.isCut = true
	}
	f.run(6 * time.Second)
	f.store++
	f.run(renewal + 4*tick)
	g.Expect(f.behind()).To(BeZero())
}

// TestHistories plays random faults, and holds after each calm time that all balancers know the last change, that few of
// them read, and at every step that none goes back.
func TestHistories(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(t, seed, 3+int(seed%25))
		for range 12 {
			f.disturb()
			f.run(time.Duration(f.random.IntN(3000)) * time.Millisecond)
		}
		for _, b := range f.balancers {
			b.isCut, b.frozenUntil = false, time.Time{}
			if b.isDown {
				f.restart(b)
			}
		}
		f.run(2 * bound)
		f.store++
		f.run(bound)
		g := NewWithT(t)
		g.Expect(f.behind()).To(BeZero(), "seed %d", seed)
		f.run(2 * bound)
		g.Expect(f.readers()).To(BeNumerically("<=", 2), "seed %d", seed)
		g.Expect(f.readers()).To(BeNumerically(">=", 1), "seed %d", seed)
	}
}

func (f *fleet) disturb() {
	b := f.balancers[f.random.IntN(len(f.balancers))]
	switch f.random.IntN(7) {
	case 0:
		b.isDown = true
	case 1:
		f.restart(b)
	case 2:
		b.frozenUntil = f.now.Add(time.Duration(f.random.IntN(10_000)) * time.Millisecond)
	case 3:
		for _, other := range f.balancers {
			other.isCut = f.random.IntN(3) == 0
		}
	case 4:
		f.agents[f.random.IntN(len(f.agents))] = readers.NewHub()
	case 5:
		for _, other := range f.balancers {
			if f.random.IntN(2) == 0 {
				f.restart(other)
			}
		}
	default:
		f.store++
	}
}

func TestABoardIsBounded(t *testing.T) {
	g := NewWithT(t)
	b := readers.NewHub()
	for i := range 1000 {
		b.HandleStatus(start, hop.IP{10, 1, byte(i / 250), byte(i % 250)}, hop.BalancerStatus{Group: group, IsWatching: true, Revision: 5})
	}
	g.Expect(len(b.Recipients(start, readers.Advanced, hop.BalancerStatus{Group: group, Revision: 6}))).To(BeNumerically("<=", 256))
	g.Expect(b.Readers(start, group)).To(HaveLen(hop.MaxReaders))
	g.Expect(b.Readers(start, group+1)).To(BeEmpty())
	g.Expect(b.Readers(start.Add(4*time.Second), group)).To(BeEmpty(), "what went without a word is forgotten")
}

func TestOnlyRevisionsThatRiseAreNews(t *testing.T) {
	g := NewWithT(t)
	b := readers.NewHub()
	one, other := hop.IP{10, 1, 0, 1}, hop.IP{10, 1, 0, 2}
	reading := hop.BalancerStatus{Group: group, IsWatching: true, Revision: 5}
	g.Expect(b.HandleStatus(start, one, reading)).To(Equal(readers.Advanced))
	g.Expect(b.HandleStatus(start, other, reading)).To(Equal(readers.NoUpdate))
	reading.Revision = 6
	g.Expect(b.HandleStatus(start, one, reading)).To(Equal(readers.Advanced))
	g.Expect(b.HandleStatus(start, other, hop.BalancerStatus{Group: group, Revision: 7})).To(Equal(readers.Stopped))
	g.Expect(b.HandleStatus(start, other, hop.BalancerStatus{Group: group, Revision: 7})).To(Equal(readers.NoUpdate), "it does not read")
	g.Expect(b.HandleStatus(start, other, hop.BalancerStatus{IsWatching: true, Revision: 9})).To(Equal(readers.NoUpdate), "it meets elsewhere")
}

func TestAllOfAGroupAskTheSameReader(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 4, 12)
	f.run(6 * time.Second)
	asked := map[hop.IP]int{}
	reading := 0
	for _, b := range f.balancers {
		first, isOther := b.choice.PreferredReader(f.now, b.isServed(f.now))
		if isOther {
			asked[first]++
			continue
		}
		asked[b.ip]++
		reading++
		g.Expect(b.choice.IsReader()).To(BeTrue(), "who asks nobody reads")
	}
	g.Expect(asked).To(HaveLen(1))
	g.Expect(reading).To(Equal(1))
}
