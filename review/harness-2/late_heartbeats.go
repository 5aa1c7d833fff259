//go:build review

package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// delayProxy forwards TCP connections and holds back what their clients send for a time.
type delayProxy struct {
	listener net.Listener
	mu       sync.Mutex
	delay    time.Duration
}

func (d *deployment) newDelayProxy(at netip.Addr, to netip.AddrPort, delay time.Duration) *delayProxy {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(at, 0).String())
	d.must(err)
	p := &delayProxy{listener: listener, delay: delay}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, to)
		}
	}()
	return p
}

func (p *delayProxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// serve forwards the bytes that the client has sent so far once the delay has passed, even if the client is gone by then: they are on
// their way.
func (p *delayProxy) serve(conn net.Conn, to netip.AddrPort) {
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 8192)
	n, _ := conn.Read(buffer)
	time.Sleep(p.delay)
	up, err := net.Dial("tcp4", to.String())
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	_, _ = up.Write(buffer[:n])
	_ = up.SetReadDeadline(time.Now().Add(time.Second))
	answer := make([]byte, 8192)
	if n, err := up.Read(answer); err == nil {
		_, _ = conn.Write(answer[:n])
	}
}

// lateHeartbeats: the heartbeats of a host are delayed; the host crashes, and a new incarnation registers at the same address. Then the
// heartbeats of the crashed one arrive.
func lateHeartbeats(d *deployment) {
	address := netip.MustParseAddrPort("127.200.0.1:443")
	d.configure([]string{"lines"}, route("orders", address, "lines"))
	for range 2 {
		d.addBalancer()
	}
	var sides []*machine
	var hosts []*host
	for i := range 3 {
		m := d.newSide()
		d.startAgent(m, "lines")
		sides = append(sides, m)
		if i > 0 {
			hosts = append(hosts, d.startHost(m, fmt.Sprintf("i-%d", i), "lines", m.addr(portAnnounce)))
		}
	}
	// The first machine: its host's heartbeats are delayed by 11.5 s (with TROUBLE=0: not at all). It lives for 6.8 s.
	announce := sides[0].addr(portAnnounce)
	if hasTrouble {
		announce = d.newDelayProxy(sides[0].ip, announce, 11540*time.Millisecond).address()
	}
	first := d.startHost(sides[0], "i-first", "lines", announce)
	time.Sleep(6800 * time.Millisecond)
	first.crash()
	time.Sleep(1300 * time.Millisecond)
	second := d.startHost(sides[0], "i-second", "lines", sides[0].addr(portAnnounce))
	hosts = append(hosts, second)
	d.awaitTargets(sides...)
	d.await("rotation", d.isRotationFull)
	time.Sleep(300 * time.Millisecond)

	// Clients with long flows: a request about every 400 ms on each.
	d.onResetHook = func(f *flow) {
		for _, h := range hosts {
			if h.holds(f.key) {
				d.broken("FLOW: %s, open since %.1f s at %s, got a reset that its host did not send", f.key.client, time.Since(f.openedAt).Seconds(), h.id)
			}
		}
	}
	c := d.newClient()
	var wg sync.WaitGroup
	end := d.started.Add(25 * time.Second)
	for i := range 24 {
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
	wg.Wait()
	for _, h := range hosts {
		h.mu.Lock()
		d.log("host %s has run %d requests", h.id, len(h.runs))
		h.mu.Unlock()
		h.crash()
	}
}
