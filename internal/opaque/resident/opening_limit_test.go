package resident_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/resident"
)

// The limit of the two deployments: 40 x 1.5 + 5 = 65 opening packets within a second.
const coldRate = 40

var coldLimit = resident.OpeningLimit{Excess: 1.5, Slack: 5}

// limitedMachine returns an agent that knows the rate of cold targets, beside a target with many slots that stays cold for a time.
func limitedMachine(limit resident.OpeningLimit, rate uint16, warmupLeft time.Duration) *resident.Machine {
	r := resident.New(start, here, "pedidos", flowLifetime)
	r.SetOpeningLimit(limit)
	r.SetColdRate(start, 1, rate)
	r.HandleHeartbeat(start, manySlots(1, warmupLeft))
	return r
}

func manySlots(sequence int64, warmupLeft time.Duration) resident.Heartbeat {
	h := heartbeat(sequence)
	h.Slots, h.WarmupLeft = 10_000, warmupLeft
	return h
}

// acceptedPerSecond sends an opening packet each millisecond, as many balancers together do, and returns how many are delivered per
// second. The target answers all of them.
func acceptedPerSecond(r *resident.Machine, fromMs, seconds int) []int {
	counts := make([]int, seconds)
	for ms := range seconds * 1000 {
		now, port := after(fromMs+ms), uint16(fromMs+ms)
		if r.HandleCallerPacket(now, openingPacket(port), newHeader(next)).Verdict == resident.Deliver {
			r.HandleTargetPacket(now, acceptPacket(port))
			counts[ms/1000]++
		}
	}
	return counts
}

// Guards against a cold target that receives the openings of all balancers at once, or more than its rate on average, and against a limit
// where none is configured.
func TestLimitOfOpeningsAppliesToColdTargetsWithKnownRate(t *testing.T) {
	const all = 1000
	for name, c := range map[string]struct {
		limit       resident.OpeningLimit
		rate        uint16
		warmupLeft  time.Duration
		atLeast, to int
	}{
		"cold target":            {coldLimit, coldRate, time.Minute, coldRate, 64},
		"no slack":               {resident.OpeningLimit{Excess: 1}, coldRate, time.Minute, coldRate - 1, coldRate - 1},
		"bound of one":           {resident.OpeningLimit{Excess: 1}, 1, time.Minute, 1, 1},
		"bound below one":        {resident.OpeningLimit{Excess: 0.5}, 1, time.Minute, 0, 0},
		"highest rate":           {coldLimit, 65535, time.Minute, all, all},
		"warm target":            {coldLimit, coldRate, 0, all, all},
		"unknown rate":           {coldLimit, 0, time.Minute, all, all},
		"missing settings":       {resident.OpeningLimit{}, coldRate, time.Minute, all, all},
		"slack without a factor": {resident.OpeningLimit{Slack: 5}, coldRate, time.Minute, all, all},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0
			for _, count := range acceptedPerSecond(limitedMachine(c.limit, c.rate, c.warmupLeft), 0, 3) {
				NewWithT(t).Expect(count).To(And(BeNumerically(">=", c.atLeast), BeNumerically("<=", c.to)))
				total += count
			}
			NewWithT(t).Expect(total).To(BeNumerically("<=", 3*c.atLeast+12), "one burst and then the rate")
		})
	}
}

// Guards against openings that wait at a cold target or are refused while a warm target has room, also behind four cold ones, and against
// flows that are refused or exceed the bound if all targets are cold.
func TestColdTargetsAtTheirLimitAreSkipped(t *testing.T) {
	const last = 5
	for name, isLastCold := range map[string]bool{"last target is warm": false, "all targets are cold": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, at, hops := newHeader(make([]hop.IP, last)...), hop.IP{10, 2, 0, 0}, 0
			var d resident.Decision
			machines := make(map[hop.IP]*resident.Machine)
			for n := range byte(last + 1) {
				ip := hop.IP{10, 2, 0, n}
				r := resident.New(start, ip, "pedidos", flowLifetime)
				r.SetOpeningLimit(resident.OpeningLimit{Excess: 1})
				r.SetColdRate(start, 1, 1)
				if n < last || isLastCold {
					r.HandleHeartbeat(start, manySlots(1, time.Minute))
					r.HandleCallerPacket(start, openingPacket(1), newHeader(next))
					r.HandleTargetPacket(start, acceptPacket(1))
				} else {
					r.HandleHeartbeat(start, manySlots(1, 0))
				}
				if machines[ip] = r; n > 0 {
					h.Candidates[n-1] = ip
				}
			}
			for ; ; at, h, hops = d.Next, &d.Header, hops+1 {
				if d = machines[at].HandleCallerPacket(after(1), openingPacket(2), h); d.Verdict != resident.ForwardNext {
					break
				}
				g.Expect(d.Reason).To(Equal(resident.Cold))
				g.Expect(hops).To(BeNumerically("<=", last), "the flow returns to the least loaded target at most once")
			}
			if !isLastCold {
				g.Expect(at).To(Equal(hop.IP{10, 2, 0, last}))
				g.Expect(d.Verdict).To(Equal(resident.Deliver))
				return
			}
			g.Expect(d.Verdict).To(Equal(resident.Wait))
			waiting := openingPacket(2)
			g.Expect(machines[at].AdmitPending(after(1), waiting, h).Verdict).NotTo(Equal(resident.Deliver), "the window has not moved")
			g.Expect(machines[at].AdmitPending(after(1011), waiting, h).Verdict).To(Equal(resident.Deliver))
		})
	}
}

// Guards against an agent that starts beside a cold target and delivers a second burst right after that of the process before it.
func TestAgentThatStartsAssumesColdTarget(t *testing.T) {
	g := NewWithT(t)
	before := acceptedPerSecond(limitedMachine(coldLimit, coldRate, time.Minute), 0, 1)[0]
	r := resident.New(start, here, "pedidos", flowLifetime)
	r.SetOpeningLimit(coldLimit)
	r.SetColdRate(start, 1, coldRate)
	delivered := 0
	for ms := range 300 {
		if r.HandleCallerPacket(after(ms), openingPacket(uint16(ms)), newHeader(next)).Verdict == resident.Deliver {
			r.HandleTargetPacket(after(ms), acceptPacket(uint16(ms)))
			delivered++
		}
	}
	g.Expect(delivered).To(BeNumerically("~", 300*coldRate/1000, 1), "no burst")
	g.Expect(before+delivered).To(BeNumerically("<=", 65), "within a second of which the earlier process ran 700 ms")
	r.HandleHeartbeat(after(300), manySlots(7, 0))
	g.Expect(acceptedPerSecond(r, 300, 1)).To(Equal([]int{1000}), "the target is warm")
}

// Guards against a limit that is lost because of a balancer that is behind or does not know the target's service.
func TestRateOfNewestConfigurationApplies(t *testing.T) {
	// The machine has the rate of version 1.
	for version, isLimited := range []bool{true, true, false} {
		r := limitedMachine(coldLimit, coldRate, time.Minute)
		r.SetColdRate(start, uint64(version), 0)
		NewWithT(t).Expect(acceptedPerSecond(r, 0, 1)[0] < 1000).To(Equal(isLimited), "version %d", version)
	}
}

// Guards against a target that gets no limit since its clock was set back, so that its heartbeat seems to be of an earlier incarnation.
func TestColdSuccessorWithEarlierStartIsLimited(t *testing.T) {
	g := NewWithT(t)
	r := limitedMachine(coldLimit, coldRate, 0)
	h := manySlots(1, 2*time.Second)
	h.Started -= 500
	g.Expect(r.HandleHeartbeat(start, h).IsUnconfirmed).To(BeTrue())
	g.Expect(r.WarmupLeft(after(500))).To(Equal(1500 * time.Millisecond))
	g.Expect(acceptedPerSecond(r, 0, 1)[0]).To(BeNumerically("<=", 64))
}

// Guards against warm targets that receive all new flows at once when their zone returns to service.
func TestNewFlowsRampUpAfterEvacuation(t *testing.T) {
	g := NewWithT(t)
	r := limitedMachine(coldLimit, coldRate, 0)
	r.StartRamp(start)
	counts := acceptedPerSecond(r, 0, 3)
	g.Expect(counts[0]).To(And(BeNumerically(">=", coldRate), BeNumerically("<=", coldRate*3/2+12)))
	g.Expect(counts[1]).To(And(BeNumerically(">", counts[0]), BeNumerically("<=", 2*coldRate+12)))
	g.Expect(counts[2]).To(Equal(1000))
	unlimited := limitedMachine(resident.OpeningLimit{}, coldRate, 0)
	unlimited.StartRamp(start)
	g.Expect(acceptedPerSecond(unlimited, 0, 1)).To(Equal([]int{1000}), "without settings there is no ramp")
}

func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against any order of new flows, retransmitted copies, pending flows, late heartbeats and changes of the rate that exceeds the
// bound within some second. Times may be slightly out of order.
func TestColdTargetNeverReceivesMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := resident.OpeningLimit{Excess: rapid.Float64Range(0.5, 3).Draw(t, "excess"), Slack: rapid.Float64Range(0, 8).Draw(t, "slack")}
		rate := uint16(rapid.IntRange(1, 60).Draw(t, "rate"))
		r := limitedMachine(limit, rate, time.Hour)
		var delivered []int
		now, port, version := 0, uint16(0), uint64(1)
		var open []uint16
		for sequence := range rapid.IntRange(20, 200).Draw(t, "events") {
			now += rapid.OneOf(rapid.Just(0), rapid.IntRange(0, 30), rapid.IntRange(0, 1100)).Draw(t, "pause")
			at := after(now - rapid.IntRange(0, 2).Draw(t, "lag"))
			count := 0
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				for range rapid.IntRange(1, 40).Draw(t, "new flows") {
					port++
					h := newHeader(next)
					h.MustAccept = port%2 == 0
					if r.HandleCallerPacket(at, openingPacket(port), h).Verdict == resident.Deliver {
						open, count = append(open, port), count+1
					}
				}
			case 3:
				for _, port := range open {
					copied := openingPacket(port)
					copied.Retransmissions = 1
					if r.HandleCallerPacket(at, copied, newHeader(next)).Verdict == resident.Deliver {
						count++
					}
				}
			case 4:
				port++
				if r.AdmitPending(at, openingPacket(port), newHeader(next)).Verdict == resident.Deliver {
					count++
				}
			case 5:
				r.HandleHeartbeat(at, manySlots(int64(sequence), time.Hour))
				r.StartRamp(at)
				// The rate of another configuration does not exceed the one for which the bound is checked.
				version++
				r.SetColdRate(at, version, uint16(rapid.IntRange(1, int(rate)).Draw(t, "next rate")))
			}
			for _, port := range open[max(0, len(open)-1):] {
				r.HandleTargetPacket(at, acceptPacket(port))
			}
			for range count {
				delivered = append(delivered, now)
			}
		}
		bound := int(float64(rate)*limit.Excess + limit.Slack)
		for i := bound; i < len(delivered); i++ {
			if elapsed := delivered[i] - delivered[i-bound]; elapsed <= 1000 {
				t.Fatalf("%d opening packets within %d ms, the bound is %d in a second", bound+1, elapsed, bound)
			}
		}
	})
}

// Guards against a data path that allocates memory or a limit that costs memory for each delivery.
func TestLimitDoesNotAllocate(t *testing.T) {
	r := limitedMachine(coldLimit, coldRate, time.Minute)
	r.HandleCallerPacket(start, openingPacket(1), newHeader(next))
	r.HandleTargetPacket(start, acceptPacket(1))
	copied, data, h, ms := openingPacket(1), dataPacket(1, 1), newHeader(next), 0
	allocations := testing.AllocsPerRun(1000, func() {
		ms += 50
		r.HandleCallerPacket(after(ms), copied, h)
		r.HandleCallerPacket(after(ms), data, h)
	})
	NewWithT(t).Expect(allocations).To(BeZero())
}
