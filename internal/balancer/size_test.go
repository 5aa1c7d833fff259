package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"gentianswitch/internal/class"
	"gentianswitch/internal/envelope"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/member"
	"gentianswitch/internal/tables"
)

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func numberedAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 4400)
}

// BenchmarkDeclaredRoutes reports the memory of the declared routes.
func BenchmarkDeclaredRoutes(b *testing.B) {
	for _, size := range []int{1_000, 8_000, 30_000, 66_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				var t tables.Tables
				for n := range size {
					t.Routes = append(t.Routes, tables.Route{
						Name: fmt.Sprintf("route-%06d", n), Address: numberedAddress(n), Pool: fmt.Sprintf("pool-%06d", n), Class: class.Short,
					})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(size), "B/route")
				runtime.KeepAlive(&t)
			}
		})
	}
}

// BenchmarkHeartbeat reports the size in bytes of a heartbeat to an agent and the time to seal it.
func BenchmarkHeartbeat(b *testing.B) {
	set, err := keys.NewSet([]keys.Key{{ID: 1}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	header := envelope.Header{Kind: envelope.Heartbeat, Balancer: numberedAddress(1)}
	var out []byte
	for b.Loop() {
		out = envelope.Seal(out[:0], set, header, nil)
	}
	b.ReportMetric(float64(len(out)), "B")
}

// BenchmarkReaderCheck measures the check whether a balancer watches the store, which runs twice per second.
func BenchmarkReaderCheck(b *testing.B) {
	for _, size := range []int{100, 1_000, 4_000, 17_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			balancer := &Balancer{settings: Settings{Control: numberedAddress(0), Zone: "zone-0"}, shared: newSharedState()}
			var live []member.Balancer
			for n := range size {
				live = append(live, member.Balancer{Control: numberedAddress(n), Zone: fmt.Sprintf("zone-%d", n%9)})
			}
			balancer.shared.setLiveBalancers(live)
			for b.Loop() {
				balancer.isStoreReader()
			}
		})
	}
}

// BenchmarkListenerCheck measures the search for ports without a socket, which runs at each change of the tables.
func BenchmarkListenerCheck(b *testing.B) {
	for _, size := range []int{1_000, 8_000, 30_000, 66_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var t tables.Tables
			for n := range size {
				t.Routes = append(t.Routes, tables.Route{Address: numberedAddress(n)})
			}
			l := newListeners(netip.Addr{})
			for b.Loop() {
				l.updateRoutes(&t)
			}
		})
	}
}
