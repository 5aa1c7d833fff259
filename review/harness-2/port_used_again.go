//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// portUsedAgain: a route is removed and added again with another service. More than flow_ttl_s after their last flows, the clients use
// ports again that they had used before.
func portUsedAgain(d *deployment) {
	address := netip.MustParseAddrPort("127.200.0.1:443")
	services := []string{"lines", "voice"}
	d.configure(services, route("orders", address, "lines"))
	for range 2 {
		d.addBalancer()
	}
	var sides []*machine
	var hosts []*host
	for i := range 6 {
		m := d.newSide()
		service := services[i/4]
		d.startAgent(m, service)
		sides = append(sides, m)
		hosts = append(hosts, d.startHost(m, fmt.Sprintf("i-%s-%d", service, i), service, m.addr(portAnnounce)))
	}
	d.awaitTargets(sides...)
	d.await("rotation", d.isRotationFull)
	time.Sleep(time.Second)

	// A rush: 100 flows at once, each with a request, and closed by both ends.
	const flows = 100
	c := d.newClient()
	rush := func(name string) {
		var wg sync.WaitGroup
		for i := range uint16(flows) {
			wg.Go(func() {
				f, err := c.openFrom(clientPort+1+i, address)
				if err != nil {
					d.log("%s flow %d: %v", name, i, err)
					return
				}
				if err := f.request(fmt.Sprintf("%s-%d", name, i), 4*time.Second); err != nil {
					d.log("%s request %d: %v", name, i, err)
				}
				time.Sleep(500 * time.Millisecond)
				f.finish()
			})
		}
		wg.Wait()
	}
	rush("before")
	closed := time.Now()
	time.Sleep(3 * time.Second)
	var acknowledged time.Time
	if hasTrouble {
		d.configure(services)
		time.Sleep(3 * time.Second)
		acknowledged = d.configure(services, route("orders", address, "voice"))
	}
	time.Sleep(time.Until(closed.Add(flowTTL + 3*time.Second)))
	rush("after")
	for _, h := range hosts {
		h.mu.Lock()
		before, after := 0, 0
		for _, r := range h.runs {
			switch {
			case !hasTrouble || r.synAt.Before(acknowledged):
				before++
			case h.service != "voice" && r.synAt.Sub(acknowledged) > converge:
				after++
				d.broken("CONFIG: request %s of a flow that was opened %.1f s after the acknowledgement of the version that leads to voice was run by %s of lines",
					r.request, r.synAt.Sub(acknowledged).Seconds(), h.id)
			default:
				after++
			}
		}
		h.mu.Unlock()
		d.log("host %s of %s has run %d requests before and %d after the version", h.id, h.service, before, after)
		h.crash()
	}
}
