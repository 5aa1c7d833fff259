//go:build review

package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentianswitch/platform/standin"
)

// runIdleLimit: a version of the configuration lowers idle_timeout_ms. Servers then discard flows that are idle for longer.
func runIdleLimit(d *deployment, isTroubled bool) (result, error) {
	if err := startDeployment(d, 3); err != nil {
		return result{}, err
	}
	t := newTraffic(d)
	t.add(12, 40*time.Millisecond, 500*time.Millisecond)
	t.add(6, 900*time.Millisecond, 50*time.Millisecond)
	t.add(6, 40*time.Millisecond, 4*time.Second)
	time.Sleep(6 * time.Second)
	idle := usualIdle
	if isTroubled {
		idle = 3 * time.Second
	}
	d.configure(map[netip.AddrPort]string{deskRoute: deskService, ledgerRoute: ledgerService}, requestLimit, idle)
	for _, s := range d.servers {
		s.setIdleTimeout(idle)
	}
	time.Sleep(14 * time.Second)
	t.end()
	return result{broken: t.breaches(idle), shown: t.summary()}, nil
}

// runEntryService: another writer replaces the entry of one server in the store by one whose service no configuration names.
func runEntryService(d *deployment, isTroubled bool) (result, error) {
	if err := startDeployment(d, 3); err != nil {
		return result{}, err
	}
	t := newTraffic(d)
	t.add(24, 40*time.Millisecond, 500*time.Millisecond)
	time.Sleep(14 * time.Second)
	if isTroubled {
		key := "gentian/targets/" + d.agents[0].ip.String()
		var entry map[string]any
		if err := msgpack.Unmarshal(d.store.Value(key), &entry); err != nil {
			return result{}, fmt.Errorf("the entry %s: %w", key, err)
		}
		d.record.line("store: the entry %s is %v", key, entry)
		entry["service"] = "unnamed-x9"
		raw, err := msgpack.Marshal(entry)
		if err != nil {
			return result{}, err
		}
		d.store.Put(key, raw)
		d.record.line("store: another writer has written %s: %v", key, entry)
	}
	time.Sleep(12 * time.Second)
	t.end()
	return result{broken: t.breaches(usualIdle), shown: t.summary()}, nil
}

// foreignHeartbeat returns a heartbeat that lacks the fields zone, version and warmup_left_ms.
func foreignHeartbeat(s *server, born, sequence int64) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.inbound.LocalAddr().String(), "max_concurrency": serverSlots, "state": "ready",
		"sequence": sequence, "born": born,
	}
}

// runHeartbeatSuccessor: a heartbeat of another writer, with fields missing, arrives at an agent.
func runHeartbeatSuccessor(d *deployment, isTroubled bool) (result, error) {
	if err := startDeployment(d, 3); err != nil {
		return result{}, err
	}
	t := newTraffic(d)
	t.add(24, 40*time.Millisecond, 500*time.Millisecond)
	time.Sleep(8 * time.Second)
	if isTroubled {
		s := d.servers[0]
		url := "http://" + d.at(d.agents[0].ip, portControl).String() + "/v1/instances/i-other-writer"
		status := put(url, foreignHeartbeat(s, time.Now().UnixMilli(), 1))
		d.record.line("another writer: a heartbeat without zone, version and warmup_left_ms for %s was answered with %d", s.id, status)
	}
	time.Sleep(8 * time.Second)
	t.end()
	return result{broken: t.breaches(usualIdle), shown: t.summary()}, nil
}

// runHeartbeatSequence: a heartbeat of another writer, with fields missing, arrives at an agent. Later the server drains.
func runHeartbeatSequence(d *deployment, isTroubled bool) (result, error) {
	const drainBound = 3 * time.Second
	if err := startDeployment(d, 3); err != nil {
		return result{}, err
	}
	s := d.servers[0]
	t := newTraffic(d)
	t.add(6, 40*time.Millisecond, 500*time.Millisecond)
	// Clients that open a flow for each request.
	for range 12 {
		t.done.Go(func() {
			for t.ctx.Err() == nil {
				f := d.clients.newFlow(deskRoute)
				if err := f.open(); err == nil {
					if err := f.request(d.nextID(), 40*time.Millisecond, requestLimit); err == nil {
						f.send(&packet{flags: flagFinish | flagAck, seq: f.seq, ack: f.ack})
					}
				}
				f.close()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	if isTroubled {
		url := "http://" + d.at(d.agents[0].ip, portControl).String() + "/v1/instances/" + s.id
		status := put(url, foreignHeartbeat(s, s.born, 1000))
		d.record.line("another writer: a heartbeat without zone, version and warmup_left_ms for %s was answered with %d", s.id, status)
	}
	time.Sleep(6 * time.Second)
	s.drain()
	d.record.line("server %s: drains from now on", s.id)
	time.Sleep(10 * time.Second)
	t.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	late := 0
	var last time.Duration
	for _, at := range s.openings {
		if !s.ackedDrain.IsZero() && at.Sub(s.ackedDrain) > drainBound {
			late++
			last = at.Sub(s.ackedDrain)
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: %d flows were opened at %s later than %v after its report that it drains was acknowledged, the last one %d ms after",
			late, s.id, drainBound, last.Milliseconds()))
	}
	return result{broken: broken, shown: t.summary()}, nil
}

// runRestoredQuiet: the store is restored from a copy that lacks servers which have just been added to a quiet service. Later the
// balancers are restarted in turn, and clients begin to use the service.
func runRestoredQuiet(d *deployment, isTroubled bool) (result, error) {
	if err := startDeployment(d, 5); err != nil {
		return result{}, err
	}
	t := newTraffic(d)
	t.add(12, 40*time.Millisecond, 500*time.Millisecond)
	time.Sleep(4 * time.Second)
	backup := d.store.Copy()
	d.record.line("store: a copy is taken")
	for n := range 6 {
		if _, err := d.addServer(ledgerService, zones[n%len(zones)]); err != nil {
			return result{}, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return result{}, err
	}
	d.record.line("six servers were added to %s, all balancers know them", ledgerService)
	time.Sleep(3 * time.Second)
	if isTroubled {
		d.store.SetFault("", standin.Reset)
		time.Sleep(2 * time.Second)
		d.store.Restore(backup)
		d.store.SetFault("", standin.NoFault)
		d.store.Put(configurationKey, d.document)
		d.record.line("store: restored from the copy after an outage of 2 s; the operator writes configuration %d again", d.version)
	}
	time.Sleep(4 * time.Second)
	d.roll(0)
	time.Sleep(2 * time.Second)
	d.roll(1)
	if isTroubled {
		if err := d.awaitEra("2"); err != nil {
			return result{}, err
		}
	} else {
		time.Sleep(12 * time.Second)
	}
	time.Sleep(time.Second)
	for _, a := range d.agents[6:] {
		d.record.line("store: holds the entry of %s: %v", a.ip, d.store.Value("gentian/targets/"+a.ip.String()) != nil)
	}
	go d.roll(2)
	time.Sleep(250 * time.Millisecond)
	d.record.line("clients begin to use %s while front-3 is restarted as the next in turn", ledgerService)
	quiet := newTraffic(d)
	quiet.route, quiet.spread = ledgerRoute, 5*time.Millisecond
	quiet.add(40, 10*time.Millisecond, 100*time.Millisecond)
	time.Sleep(8 * time.Second)
	quiet.end()
	t.end()
	return result{broken: append(t.breaches(usualIdle), quiet.breaches(usualIdle)...), shown: quiet.summary()}, nil
}

// runFrontCut: what routers send to one balancer is lost for 12 s, as when that machine is cut off from the others. Its clients' last
// acknowledgements are lost too, and their servers give up after 8 retransmissions of the answers.
func runFrontCut(d *deployment, isTroubled bool) (result, error) {
	const (
		work, pause         = 600 * time.Millisecond, 9500 * time.Millisecond
		cutAfter, cutLength = 300 * time.Millisecond, 12 * time.Second
	)
	if err := startDeployment(d, 3); err != nil {
		return result{}, err
	}
	t := newTraffic(d)
	t.add(12, 40*time.Millisecond, 500*time.Millisecond)
	t.add(6, 900*time.Millisecond, 50*time.Millisecond)
	time.Sleep(3 * time.Second)
	// Clients that send their requests at the same time and pause for 9.5 s between them.
	slow := newTraffic(d)
	slow.spread = 0
	slow.add(18, work, pause)
	time.Sleep(cutAfter)
	if isTroubled {
		d.cut.Store(&d.balancers[0].ip)
		d.record.line("front-1 is cut off for %v: what routers send there is lost", cutLength)
	}
	time.Sleep(cutLength)
	d.cut.Store(nil)
	d.record.line("front-1 is not cut off any more")
	time.Sleep(6 * time.Second)
	t.end()
	slow.end()
	// Flows through the balancer that was cut off are not judged.
	t.exempt, slow.exempt = d.balancers[0].ip, d.balancers[0].ip
	return result{broken: append(t.breaches(usualIdle), slow.breaches(usualIdle)...), shown: t.summary()}, nil
}

// runLateHeartbeats: a server has crashed and started again. Its agent is restarted as planned, and two heartbeats of the crashed
// incarnation, which a partition has delayed, arrive at the new agent process.
func runLateHeartbeats(d *deployment, isTroubled bool) (result, error) {
	if err := startDeployment(d, 3); err != nil {
		return result{}, err
	}
	time.Sleep(3 * time.Second)
	old, agent := d.servers[0], d.agents[0]
	old.stop()
	d.record.line("server %s: crashes", old.id)
	time.Sleep(time.Second)
	s, err := newServer(d, old.id, old.service, old.zone, agent.ip)
	if err != nil {
		return result{}, err
	}
	d.servers[0] = s
	d.record.line("server %s: has started again", s.id)
	t := newTraffic(d)
	t.add(24, 40*time.Millisecond, 500*time.Millisecond)
	t.add(12, 40*time.Millisecond, 4*time.Second)
	time.Sleep(4 * time.Second)
	d.record.line("operator: %s gets SIGTERM", agent.name)
	agent.signal(syscall.SIGTERM)
	<-agent.exited
	restarted := time.Now()
	if err := agent.run(); err != nil {
		return result{}, err
	}
	d.record.line("%s was started again", agent.name)
	if isTroubled {
		for n := range int64(2) {
			var status int
			for status == 0 {
				status = put(old.url, map[string]any{
					"service": old.service, "address": d.at(agent.ip, portApp).String(), "zone": old.zone, "version": "v1",
					"max_concurrency": serverSlots, "state": "ready", "warmup_left_ms": 0, "sequence": old.sequence + 1 + n, "born": old.born,
				})
			}
			d.record.line("a late heartbeat %d of the crashed incarnation was answered with %d", old.sequence+1+n, status)
			time.Sleep(1400 * time.Millisecond)
		}
	}
	time.Sleep(12 * time.Second)
	t.end()
	inTouch := 0
	for _, r := range t.resets {
		if r.heldBy != nil && r.at.Sub(restarted) > 4*time.Second {
			inTouch++
		}
	}
	d.record.line("%d of the resets of held flows came later than 4 s after the restart", inTouch)
	return result{broken: t.breaches(usualIdle), shown: t.summary()}, nil
}
