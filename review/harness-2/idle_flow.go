//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// idleFlow: flows are idle for longer than idle_timeout_ms, so their ends discard them. Meanwhile two hosts are drained. Then the client
// opens new flows from the same ports.
func idleFlow(d *deployment) {
	address := netip.MustParseAddrPort("127.200.0.1:443")
	d.configure([]string{"lines"}, route("orders", address, "lines"))
	for range 2 {
		d.addBalancer()
	}
	var sides []*machine
	var hosts []*host
	for i := range 4 {
		m := d.newSide()
		d.startAgent(m, "lines")
		sides = append(sides, m)
		hosts = append(hosts, d.startHost(m, fmt.Sprintf("i-%d", i), "lines", m.addr(portAnnounce)))
	}
	d.awaitTargets(sides...)
	d.await("rotation", d.isRotationFull)
	time.Sleep(time.Second)
	const flows = 100
	c := d.newClient()
	rush := func(name string) []*flow {
		var wg sync.WaitGroup
		opened := make([]*flow, flows)
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
				opened[i] = f
			})
		}
		wg.Wait()
		return opened
	}
	idle := rush("before")
	idleSince := time.Now()
	time.Sleep(10 * time.Second)
	acknowledged := make(map[string]time.Time)
	if hasTrouble {
		for _, h := range hosts[:2] {
			acknowledged[h.id] = h.drain()
		}
	}
	time.Sleep(time.Until(idleSince.Add(d.idleTimeout + 3*time.Second)))
	for _, f := range idle {
		if f != nil {
			f.abandon()
		}
	}
	d.log("the flows have been idle for %.0f s and are discarded", time.Since(idleSince).Seconds())
	for _, f := range rush("after") {
		if f != nil {
			f.finish()
		}
	}
	for _, h := range hosts {
		h.mu.Lock()
		at, isDraining := acknowledged[h.id]
		for _, r := range h.runs {
			if isDraining && r.synAt.Sub(at) > drainBound {
				d.broken("DRAIN: request %s of a flow whose opening packet came %.1f s after the acknowledgement that %s is draining was run there",
					r.request, r.synAt.Sub(at).Seconds(), h.id)
			}
		}
		d.log("host %s has run %d requests", h.id, len(h.runs))
		h.mu.Unlock()
		h.crash()
	}
}
