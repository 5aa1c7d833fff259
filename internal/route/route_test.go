package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
	"gentianswitch/internal/route"
	"gentianswitch/internal/tables"
)

var (
	strategies = []route.Strategy{route.SlotHashing{}, route.Rendezvous{}}
	zones      = []string{"quito", "ambato", "cuenca"}
	key        = keys.Key{ID: 1, Secret: [keys.SecretSize]byte{1, 2, 3}}
	address    = netip.MustParseAddrPort("198.51.100.1:443")
	networks   = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
)

func keySet(t testing.TB) *keys.Set {
	t.Helper()
	set, err := keys.NewSet([]keys.Key{key}, key.ID)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func newTable(t testing.TB, strategy route.Strategy) *route.Table {
	t.Helper()
	table, err := route.NewTable(keySet(t), networks, strategy)
	if err != nil {
		t.Fatal(err)
	}
	return table.WithTables(&tables.Tables{
		Routes: []tables.Route{{Name: "r", Address: address, Pool: "p", Class: class.Short}},
		Pools:  []tables.Pool{{Name: "p", Service: 7}},
	})
}

func target(i int) member.Target {
	return member.Target{
		Agent:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4400),
		Service: 7, Zone: zones[i%len(zones)], Slots: 5, State: member.Ready,
	}
}

func targets(count int) []member.Target {
	list := make([]member.Target, count)
	for i := range list {
		list[i] = target(i)
	}
	return list
}

// initial returns an opening packet whose connection ID is the given number.
func initial(flow uint64) []byte {
	d := make([]byte, 1200)
	copy(d, []byte{0xc0, 0, 0, 0, 1, 8})
	for i := range 8 {
		d[6+i] = byte(flow >> (8 * i))
	}
	return d
}

// shortHeader returns a packet of an open flow with the given connection ID.
func shortHeader(t testing.TB, id connid.ID) []byte {
	codec, err := connid.NewCodec(keySet(t))
	if err != nil {
		t.Fatal(err)
	}
	raw := codec.Encode(id)
	return append([]byte{0x40}, append(raw[:], make([]byte, 40)...)...)
}

func TestDecide(t *testing.T) {
	id := connid.ID{Agent: target(1).Agent, Service: 7, Class: class.Feed, Nonce: 1}
	outside := id
	outside.Agent = netip.MustParseAddrPort("192.0.2.1:4400")
	forged := shortHeader(t, id)
	forged[9] ^= 1
	empty := newTable(t, route.SlotHashing{})
	full := empty.WithTargets(nil, targets(2))
	tests := []struct {
		name     string
		table    *route.Table
		address  netip.AddrPort
		datagram []byte
		want     route.Verdict
	}{
		{"open flow", full, address, shortHeader(t, id), route.Forward},
		{"open flow, balancer without routes and targets", empty, netip.AddrPort{}, shortHeader(t, id), route.Forward},
		{"open flow to an agent outside the networks", full, address, shortHeader(t, outside), route.DropOutsideNetworks},
		{"forged ID", full, address, forged, route.DropUnknownFlow},
		{"opening packet", full, address, initial(1), route.Place},
		{"opening packet to another port", full, netip.MustParseAddrPort("198.51.100.1:444"), initial(1), route.DropNoRoute},
		{"opening packet to the zero address", full, netip.AddrPort{}, initial(1), route.DropNoRoute},
		{"opening packet without targets", empty, address, initial(1), route.DropNoTarget},
		{"truncated", full, address, initial(1)[:100], route.DropMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.table.Decide(test.address, test.datagram); got.Verdict != test.want {
				t.Errorf("got %s, expected %s", got.Verdict, test.want)
			}
		})
	}
}

// Tables with the same targets give the same decisions, regardless of the order and the batches in which targets were added and
// removed.
func TestEqualTargetsGiveEqualDecisions(t *testing.T) {
	for _, strategy := range strategies {
		t.Run(strategy.Name(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				list := targets(rapid.IntRange(1, 60).Draw(t, "targets"))
				for i := range list {
					list[i].Slots = rapid.IntRange(1, 40).Draw(t, "slots")
				}
				kept := rapid.IntRange(0, len(list)).Draw(t, "kept")
				table, _ := route.NewTable(newKeySet(), nil, strategy)
				table = table.WithTables(&tables.Tables{
					Routes: []tables.Route{{Address: address, Pool: "p", Class: class.Short}}, Pools: []tables.Pool{{Name: "p", Service: 7}},
				})
				once := table.WithTargets(nil, list[:kept])
				stepwise := table
				order := rapid.Permutation(list).Draw(t, "order")
				for len(order) > 0 {
					n := rapid.IntRange(1, len(order)).Draw(t, "batch")
					stepwise = stepwise.WithTargets(nil, order[:n])
					order = order[n:]
				}
				stepwise = stepwise.WithTargets(list[kept:], nil)
				for flow := range uint64(50) {
					a, b := once.Decide(address, initial(flow)), stepwise.Decide(address, initial(flow))
					if a.Verdict != b.Verdict || a.Agent != b.Agent || a.Second != b.Second {
						t.Fatalf("flow %d: %v then %v, and %v then %v", flow, a.Agent, a.Second, b.Agent, b.Second)
					}
				}
			})
		})
	}
}

// newKeySet is keySet for property tests, which have no testing.TB.
func newKeySet() *keys.Set {
	set, _ := keys.NewSet([]keys.Key{key}, key.ID)
	return set
}

func TestSecondCandidate(t *testing.T) {
	oneZoneTargets := targets(4)
	for i := range oneZoneTargets {
		oneZoneTargets[i].Zone = "quito"
	}
	tests := []struct {
		name          string
		targets       []member.Target
		hasSecond     bool
		isInOtherZone bool
	}{
		{"one target", targets(1), false, false},
		{"one zone", oneZoneTargets, true, false},
		{"two zones of one target each", targets(2), true, true},
		{"a zone of one beside larger ones", append(targets(30), member.Target{
			Agent: netip.MustParseAddrPort("10.9.9.9:4400"), Service: 7, Zone: "manta", Slots: 1, State: member.Ready,
		}), true, true},
	}
	for _, strategy := range strategies {
		for _, test := range tests {
			t.Run(strategy.Name()+"/"+test.name, func(t *testing.T) {
				zoneOf := make(map[netip.AddrPort]string)
				for _, m := range test.targets {
					zoneOf[m.Agent] = m.Zone
				}
				table := newTable(t, strategy).WithTargets(nil, test.targets)
				for flow := range uint64(500) {
					d := table.Decide(address, initial(flow))
					if d.Second.IsValid() != test.hasSecond || d.Agent == d.Second {
						t.Fatalf("flow %d: candidates %v and %v", flow, d.Agent, d.Second)
					}
					if isOther := zoneOf[d.Agent] != zoneOf[d.Second]; test.hasSecond && isOther != test.isInOtherZone {
						t.Fatalf("flow %d: candidates in %s and %s", flow, zoneOf[d.Agent], zoneOf[d.Second])
					}
				}
			})
		}
	}
}

func TestOnlyReadyTargetsWithSlotsGetFlows(t *testing.T) {
	list := targets(6)
	for i, state := range []member.State{member.Starting, member.Draining, member.Gone, member.Failed} {
		list[i].State = state
	}
	list[4].Slots = -1
	for _, strategy := range strategies {
		table := newTable(t, strategy).WithTargets(nil, list)
		for flow := range uint64(100) {
			if d := table.Decide(address, initial(flow)); d.Agent != list[5].Agent || d.Second.IsValid() {
				t.Fatalf("%s: candidates %v and %v", strategy.Name(), d.Agent, d.Second)
			}
		}
	}
}

// A target with a huge number of slots gets nearly all flows. The slot table stays bounded: no panic, no exhausted memory.
func TestHugeWeightIsBounded(t *testing.T) {
	list := targets(300)
	list[3].Slots = 1 << 40
	table := newTable(t, route.SlotHashing{}).WithTargets(nil, list)
	for flow := range uint64(1000) {
		if d := table.Decide(address, initial(flow)); d.Verdict != route.Place || !d.Second.IsValid() {
			t.Fatalf("flow %d: %+v", flow, d)
		}
	}
}

func TestWithTablesAppliesDifferences(t *testing.T) {
	pools := []tables.Pool{{Name: "p", Service: 7}, {Name: "q", Service: 8}}
	row := func(i int, pool string) tables.Route {
		ip := netip.AddrFrom4([4]byte{198, 51, 100, byte(i)})
		return tables.Route{Name: fmt.Sprint(i), Address: netip.AddrPortFrom(ip, 443), Pool: pool, Class: class.Short}
	}
	other := target(9)
	other.Service = 8
	table := newTable(t, route.SlotHashing{}).WithTargets(nil, []member.Target{target(1), other})
	table = table.WithTables(&tables.Tables{Routes: []tables.Route{row(1, "p"), row(2, "p"), row(3, "p")}, Pools: pools})
	table = table.WithTables(&tables.Tables{Routes: []tables.Route{row(1, "p"), row(2, "q"), row(4, "q")}, Pools: pools})
	want := map[int]uint16{1: 7, 2: 8, 3: 0, 4: 8}
	for i, service := range want {
		if d := table.Decide(row(i, "").Address, initial(1)); d.Service != service {
			t.Errorf("route %d has service %d (%s), expected %d", i, d.Service, d.Verdict, service)
		}
	}
	swapped := []tables.Pool{{Name: "p", Service: 8}, {Name: "q", Service: 7}}
	table = table.WithTables(&tables.Tables{Routes: []tables.Route{row(1, "p"), row(2, "q")}, Pools: swapped})
	for i, service := range map[int]uint16{1: 8, 2: 7, 4: 0} {
		if d := table.Decide(row(i, "").Address, initial(1)); d.Service != service {
			t.Errorf("after the swap, route %d has service %d (%s), expected %d", i, d.Service, d.Verdict, service)
		}
	}
}

// flowsPerTarget returns the number of flows that each target gets.
func flowsPerTarget(table *route.Table, flows uint64) map[netip.AddrPort]int {
	counts := make(map[netip.AddrPort]int)
	for flow := range flows {
		counts[table.Decide(address, initial(flow)).Agent]++
	}
	return counts
}

func TestFlowsAreProportionalToWeights(t *testing.T) {
	const flows = 200_000
	random := rand.New(rand.NewPCG(1, 1))
	list := targets(30)
	total := 0
	for i := range list {
		list[i].Slots = 1 + random.IntN(8)
		total += list[i].Slots
	}
	for _, strategy := range strategies {
		counts := flowsPerTarget(newTable(t, strategy).WithTargets(nil, list), flows)
		for _, m := range list {
			share := float64(counts[m.Agent]) / flows * float64(total) / float64(m.Slots)
			if share < 0.9 || share > 1.1 {
				t.Errorf("%s: %v with %d slots gets %.3f of its share", strategy.Name(), m.Agent, m.Slots, share)
			}
		}
	}
}

// The removal of a target moves its own flows and at most four times as many others.
func TestRemovedTargetMovesFewFlows(t *testing.T) {
	const flows, count = 20_000, 200
	for _, strategy := range strategies {
		before := newTable(t, strategy).WithTargets(nil, targets(count))
		after := before.WithTargets([]member.Target{target(17)}, nil)
		moved := 0
		for flow := range uint64(flows) {
			if before.Decide(address, initial(flow)).Agent != after.Decide(address, initial(flow)).Agent {
				moved++
			}
		}
		if moved > 5*flows/count {
			t.Errorf("%s: %d of %d flows moved when one of %d targets was removed", strategy.Name(), moved, flows, count)
		}
	}
}

func TestDecisionsDoNotAllocate(t *testing.T) {
	table := newTable(t, route.SlotHashing{}).WithTargets(nil, targets(300))
	open := shortHeader(t, connid.ID{Agent: target(1).Agent, Service: 7, Class: class.Feed})
	for name, datagram := range map[string][]byte{"open flow": open, "new flow": initial(5)} {
		if n := testing.AllocsPerRun(1000, func() { table.Decide(address, datagram) }); n != 0 {
			t.Errorf("%s: %.0f allocations", name, n)
		}
	}
}
