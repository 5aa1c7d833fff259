//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// foreignEntry: another writer replaces the entry of a host in the store by bytes that can't be read. Then the balancers are restarted in
// turn.
func foreignEntry(d *deployment) {
	address := netip.MustParseAddrPort("127.200.0.1:443")
	d.configure([]string{"lines"}, route("feed", address, "lines"))
	for range 4 {
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

	d.onResetHook = func(f *flow) {
		for _, h := range hosts {
			if h.holds(f.key) {
				d.broken("FLOW: %s, open since %.1f s at %s, got a reset that its host did not send", f.key.client, time.Since(f.openedAt).Seconds(), h.id)
			}
		}
	}
	end := time.Now().Add(28 * time.Second)
	c := d.newClient()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				f, err := c.open(address)
				if err != nil {
					d.log("flow %d/%d: %v", i, n, err)
					time.Sleep(200 * time.Millisecond)
					continue
				}
				for r := 0; time.Now().Before(end); r++ {
					id := fmt.Sprintf("r-%d-%d-%d", i, n, r)
					if err := f.request(id, 4*time.Second); err != nil {
						d.log("request %s, served before by %s: %v", id, f.servedBy, err)
						break
					}
					time.Sleep(400 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	if hasTrouble {
		key := "gentian/targets/" + sides[0].ip.String()
		d.store.Put(key, []byte("\xffsome other program's bytes"))
		d.log("another writer replaces %s, the entry of %s", key, hosts[0].id)
	}
	time.Sleep(2 * time.Second)
	for _, b := range d.balancers {
		wg.Go(b.restart)
		time.Sleep(2 * time.Second)
	}
	wg.Wait()
	for _, h := range hosts {
		h.crash()
	}
}
