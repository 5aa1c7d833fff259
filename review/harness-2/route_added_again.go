//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// routeAddedAgain: versions of the configuration remove a route and add it again, while the balancers are restarted in turn.
func routeAddedAgain(d *deployment) {
	steady, toggled := netip.MustParseAddrPort("127.200.0.1:443"), netip.MustParseAddrPort("127.200.0.2:443")
	services := []string{"lines"}
	withRoute := func(timeout int) []routeItem {
		r := route("feed", steady, "lines")
		r.Timeout = timeout
		return []routeItem{r, route("orders", toggled, "lines")}
	}
	withoutRoute := func(timeout int) []routeItem { return withRoute(timeout)[:1] }

	d.configure(services, withRoute(4000)...)
	for range 7 {
		d.addBalancer()
	}
	var sides []*machine
	var hosts []*host
	for i := range 3 {
		m := d.newSide()
		d.startAgent(m, "lines")
		sides = append(sides, m)
		hosts = append(hosts, d.startHost(m, fmt.Sprintf("i-%d", i), "lines", m.addr(portAnnounce)))
	}
	d.awaitTargets(sides...)
	d.await("rotation", d.isRotationFull)
	time.Sleep(2 * time.Second)

	// addedAt is when the newest version with the route was acknowledged; zero while the newest version lacks it.
	var mu sync.Mutex
	addedAt := time.Now()
	d.onResetHook = func(f *flow) {
		mu.Lock()
		at := addedAt
		mu.Unlock()
		if at.IsZero() || !f.openedAt.After(at) {
			return // A version has removed the route of the flow.
		}
		for _, h := range hosts {
			if h.holds(f.key) {
				d.broken("FLOW: %s, opened at %s %.3f s after the version that added its route again, got a reset %.3f s later that its host did not send",
					f.key.client, h.id, f.openedAt.Sub(at).Seconds(), f.resetAt.Sub(f.openedAt).Seconds())
			}
		}
	}
	end := time.Now().Add(95 * time.Second)
	c := d.newClient()
	var wg sync.WaitGroup
	for i := range 48 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				f, err := c.open(toggled)
				if err != nil {
					time.Sleep(30 * time.Millisecond)
					continue
				}
				for r := 0; time.Now().Before(end); r++ {
					if err := f.request(fmt.Sprintf("r-%d-%d-%d", i, n, r), time.Second); err != nil {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				f.abandon()
			}
		})
	}
	// All balancers are restarted in turn, with 1.2 to 2 s from one to the next.
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(d.balancers[n%len(d.balancers)].restart)
			time.Sleep(randomBetween(1200, 2000))
		}
	})
	// The operator's versions: one each two seconds on average.
	for time.Now().Before(end) {
		mu.Lock()
		if hasTrouble {
			addedAt = time.Time{}
			d.configure(services, withoutRoute(4000)...)
		} else {
			d.configure(services, withRoute(4000)...)
		}
		mu.Unlock()
		time.Sleep(randomBetween(1400, 1900))
		if hasTrouble {
			d.configure(services, withoutRoute(4500)...)
		} else {
			d.configure(services, withRoute(4500)...)
		}
		time.Sleep(randomBetween(350, 500))
		acknowledged := d.configure(services, withRoute(5000)...)
		if hasTrouble {
			mu.Lock()
			addedAt = acknowledged
			mu.Unlock()
		}
		time.Sleep(randomBetween(3500, 4200))
	}
	wg.Wait()
	for _, h := range hosts {
		h.crash()
	}
}

// randomBetween returns a random time between two numbers of milliseconds.
func randomBetween(low, high int) time.Duration {
	return time.Duration(low+rand.IntN(high-low)) * time.Millisecond
}
