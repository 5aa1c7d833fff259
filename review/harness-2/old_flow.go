//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// oldFlow: hosts discard flows that are older than flow_ttl_s, while their clients still use them.
func oldFlow(d *deployment) {
	address := netip.MustParseAddrPort("127.200.0.1:443")
	d.configure([]string{"lines"}, route("feed", address, "lines"))
	for range 2 {
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
	time.Sleep(time.Second)

	d.onResetHook = func(f *flow) {
		age := time.Since(f.openedAt)
		if age > flowTTL {
			return // Flows older than flow_ttl_s are not counted.
		}
		for _, h := range hosts {
			if h.holds(f.key) {
				d.broken("FLOW: %s, open since %.1f s at %s, got a reset that its host did not send", f.key.client, age.Seconds(), h.id)
			}
		}
	}
	c := d.newClient()
	var wg sync.WaitGroup
	end := time.Now().Add(flowTTL + 10*time.Second)
	use := func(name string) {
		for n := 0; time.Now().Before(end); n++ {
			f, err := c.open(address)
			if err != nil {
				d.log("flow %s/%d: %v", name, n, err)
				time.Sleep(200 * time.Millisecond)
				continue
			}
			for r := 0; time.Now().Before(end); r++ {
				id := fmt.Sprintf("%s-%d-%d", name, n, r)
				if err := f.request(id, 4*time.Second); err != nil {
					d.log("request %s, open since %.1f s, served before by %s: %v", id, time.Since(f.openedAt).Seconds(), f.servedBy, err)
					break
				}
				time.Sleep(time.Second)
			}
			f.abandon()
		}
	}
	for i := range 6 {
		wg.Go(func() { use(fmt.Sprintf("old-%d", i)) })
	}
	time.Sleep(30 * time.Second)
	for i := range 24 {
		wg.Go(func() { use(fmt.Sprintf("young-%d", i)) })
	}
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		for _, h := range hosts {
			if hasTrouble {
				if n := h.discardOlderThan(flowTTL); n > 0 {
					d.log("host %s discards %d flows that are older than %v", h.id, n, flowTTL)
				}
			}
		}
	}
	wg.Wait()
	for _, h := range hosts {
		h.crash()
	}
}
