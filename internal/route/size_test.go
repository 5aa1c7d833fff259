package route_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"strconv"
	"testing"

	"gentianswitch/internal/class"
	"gentianswitch/internal/connid"
	"gentianswitch/internal/member"
	"gentianswitch/internal/route"
	"gentianswitch/internal/tables"
)

// fleet is a system of the size that is expected in two years: 66,000 routes and 120,000 targets. Most pools have 2 targets, a
// few have 10,000.
type fleet struct {
	declared *tables.Tables
	targets  []member.Target
}

// Sizes of the fleet at 100 percent, and of the changes in BenchmarkChange.
const (
	largePools       = 8
	largePoolTargets = 10_000
	smallPools       = 20_000
	fleetRoutes      = 66_000
	fleetZones       = 9
	rackTargets      = 40
	zoneTargets      = 13_000
	// maxTableBytes is the memory bound of the tables at 100 percent.
	maxTableBytes = 64 << 20
)

// newFleet returns a fleet of the given percentage of the full size.
func newFleet(percent int) fleet {
	f := fleet{declared: &tables.Tables{}}
	pools := largePools + smallPools*percent/100
	for p := range pools {
		f.declared.Pools = append(f.declared.Pools, tables.Pool{Name: "pool-" + strconv.Itoa(p), Service: uint16(p + 1)})
		size := 2
		if p < largePools {
			size = largePoolTargets * percent / 100
		}
		for range size {
			m := target(len(f.targets))
			m.Zone = "zone-" + strconv.Itoa(len(f.targets)%fleetZones)
			m.Service = uint16(p + 1)
			f.targets = append(f.targets, m)
		}
	}
	for r := range fleetRoutes * percent / 100 {
		f.declared.Routes = append(f.declared.Routes, tables.Route{
			Name: "route-" + strconv.Itoa(r), Address: routeAddress(r), Pool: f.declared.Pools[r%pools].Name, Class: class.Short,
		})
	}
	return f
}

func routeAddress(r int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, byte(r >> 16), byte(r >> 8), byte(r)}), 443)
}

func (f fleet) table(t testing.TB, strategy route.Strategy) *route.Table {
	table, err := route.NewTable(keySet(t), nil, strategy)
	if err != nil {
		t.Fatal(err)
	}
	return table.WithTables(f.declared).WithTargets(nil, f.targets)
}

// heapOf returns the result of build and the heap memory in bytes that it keeps alive.
func heapOf[T any](build func() T) (T, uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

func TestTwoYearFleetFitsMemoryBound(t *testing.T) {
	f := newFleet(100)
	table, size := heapOf(func() *route.Table { return f.table(t, route.SlotHashing{}) })
	t.Logf("%d routes, %d targets: %.1f MiB", len(f.declared.Routes), len(f.targets), float64(size)/(1<<20))
	if size > maxTableBytes {
		t.Errorf("the tables need %d bytes, expected at most %d", size, maxTableBytes)
	}
	runtime.KeepAlive(table)
	runtime.KeepAlive(f)
}

// BenchmarkMemory reports the memory of the table for four sizes of the fleet.
func BenchmarkMemory(b *testing.B) {
	for _, percent := range []int{12, 25, 50, 100} {
		b.Run(fmt.Sprintf("percent=%d", percent), func(b *testing.B) {
			f := newFleet(percent)
			for b.Loop() {
				table, size := heapOf(func() *route.Table { return f.table(b, route.SlotHashing{}) })
				b.ReportMetric(float64(size), "heap-B")
				b.ReportMetric(float64(len(f.targets)), "targets")
				runtime.KeepAlive(table)
			}
			runtime.KeepAlive(f)
		})
	}
}

func BenchmarkForward(b *testing.B) {
	table := newFleet(100).table(b, route.SlotHashing{})
	datagram := shortHeader(b, connid.ID{Agent: target(70_000).Agent, Service: 3, Class: class.Feed})
	b.ReportAllocs()
	for b.Loop() {
		if d := table.Decide(routeAddress(1), datagram); d.Verdict != route.Forward {
			b.Fatal(d.Verdict)
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	f := newFleet(100)
	for _, strategy := range strategies {
		table := f.table(b, strategy)
		// Route r has pool r, and the first pools are the large ones.
		for name, first := range map[string]int{"pool=10000": 0, "pool=2": largePools} {
			b.Run(strategy.Name()+"/"+name, func(b *testing.B) {
				b.ReportAllocs()
				flow := uint64(0)
				datagram := initial(0)
				for b.Loop() {
					flow++
					for i := range 8 {
						datagram[6+i] = byte(flow >> (8 * i))
					}
					r := first + int(flow%largePools)
					if first > 0 {
						r = first + int(flow%20_000)
					}
					if d := table.Decide(routeAddress(r), datagram); d.Verdict != route.Place {
						b.Fatal(d.Verdict)
					}
				}
			})
		}
	}
}

func BenchmarkChange(b *testing.B) {
	f := newFleet(100)
	table := f.table(b, route.SlotHashing{})
	small := f.targets[len(f.targets)-1:]
	var oneZone []member.Target
	for i := 0; len(oneZone) < zoneTargets; i += fleetZones {
		oneZone = append(oneZone, f.targets[i%len(f.targets)])
	}
	oneRoute := changedRoutes(f.declared, 33_000)
	scattered := changedRoutes(f.declared, 5, 33_000, 65_000)
	changes := map[string]func(){
		"route":                     func() { table.WithTables(oneRoute) },
		"three routes far apart":    func() { table.WithTables(scattered) },
		"target of a pool of 2":     func() { table.WithTargets(small, nil) },
		"target of a pool of 10000": func() { table.WithTargets(f.targets[:1], nil) },
		"rack of 40":                func() { table.WithTargets(f.targets[:rackTargets], nil) },
		"zone of 13000":             func() { table.WithTargets(oneZone, nil) },
		"everything":                func() { f.table(b, route.SlotHashing{}) },
	}
	for _, name := range []string{
		"route", "three routes far apart", "target of a pool of 2", "target of a pool of 10000",
		"rack of 40", "zone of 13000", "everything",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				changes[name]()
			}
		})
	}
}

// changedRoutes returns tables in which the routes at the given indexes have another pool.
func changedRoutes(declared *tables.Tables, indexes ...int) *tables.Tables {
	changed := &tables.Tables{Pools: declared.Pools, Routes: append([]tables.Route(nil), declared.Routes...)}
	for _, index := range indexes {
		changed.Routes[index].Pool = declared.Pools[9].Name
	}
	return changed
}
