//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client stands in for a client at an address of its own. It can hold many flows.
type client struct {
	d      *deployment
	ip     netip.Addr
	socket *net.UDPConn
	mu     sync.Mutex
	flows  map[flowKey]*flow
	port   uint16
}

// flow is a client's end of a flow.
type flow struct {
	c        *client
	key      flowKey
	seq, ack uint32
	packets  chan packet
	isOpen   atomic.Bool
	openedAt time.Time
	wasReset atomic.Bool
	resetAt  time.Time
	servedBy string
}

// clientPort is the first port of a client.
const clientPort = 41000

func (d *deployment) newClient() *client {
	ip := d.newIP()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, d.port(portData))))
	d.must(err)
	c := &client{d: d, ip: ip, socket: socket, flows: make(map[flowKey]*flow), port: clientPort}
	go c.receive()
	return c
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := decode(append([]byte(nil), buffer[:n]...))
		if err != nil || !p.isSumValid && !(p.has(flagRST) && p.isZero) {
			c.d.broken("MIXED: a client got a packet that its sender didn't write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[flowKey{p.dst, p.src}]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if p.has(flagRST) && p.isZero && f.isOpen.Load() {
			f.takeReset(&p)
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

// takeReset records a reset of the system on an open flow.
func (f *flow) takeReset(p *packet) {
	distance := int32(p.seq - f.ack)
	if distance < -resetWindow || distance > resetWindow || f.wasReset.Load() {
		return
	}
	f.resetAt = time.Now()
	f.wasReset.Store(true)
	f.c.d.onReset(f)
}

// nextPort returns the port of the next flow.
func (c *client) nextPort() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	return c.port
}

// open opens a flow from a new port, and reports whether a host has accepted it.
func (c *client) open(route netip.AddrPort) (*flow, error) { return c.openFrom(c.nextPort(), route) }

// openFrom opens a flow from a port: a SYN, and copies of it 200 and 600 ms later. It gives up after 1.4 s.
func (c *client) openFrom(port uint16, route netip.AddrPort) (*flow, error) {
	f := &flow{
		c: c, key: flowKey{netip.AddrPortFrom(c.ip, port), route}, seq: rand.Uint32(), packets: make(chan packet, 64),
	}
	c.mu.Lock()
	c.flows[f.key] = f
	c.mu.Unlock()
	started := time.Now()
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(&packet{flags: flagSYN, seq: f.seq, ack: uint32(copies)})
		deadline := time.After(time.Until(started.Add(until)))
		for waiting := true; waiting; {
			select {
			case p := <-f.packets:
				switch {
				case p.has(flagRST):
					return nil, errReset
				case p.has(flagSYN) && p.has(flagACK):
					f.ack = p.seq
					f.openedAt = time.Now()
					f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
					f.isOpen.Store(true)
					return f, nil
				}
			case <-deadline:
				waiting = false
			}
		}
	}
	return nil, errNoAnswer
}

var (
	errReset    = fmt.Errorf("reset")
	errNoAnswer = fmt.Errorf("no answer")
)

// request sends a request and waits for its answer until the deadline. It retransmits the request.
func (f *flow) request(id string, deadline time.Duration) error {
	data := fmt.Appendf(nil, "POST /orders HTTP/1.1\r\nHost: %s\r\nGentianswitch-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", f.key.route, id)
	end := time.Now().Add(deadline)
	f.c.d.sent.Add(1)
	f.c.d.log("sent %s on %s", id, f.key.client)
	for wait := 200 * time.Millisecond; time.Now().Before(end); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data})
		timer := time.After(min(wait, time.Until(end)))
		for waiting := true; waiting; {
			select {
			case p := <-f.packets:
				switch {
				case p.has(flagRST):
					return errReset
				case len(p.data) > 0 && p.seq == f.ack:
					f.seq += uint32(len(data))
					f.ack += uint32(len(p.data))
					f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
					return f.check(id, string(p.data))
				}
			case <-timer:
				waiting = false
			}
		}
	}
	return errNoAnswer
}

// check checks the answer to a request.
func (f *flow) check(id, answer string) error {
	_, after, hasSignature := strings.Cut(answer, "Gentianswitch-Server-Signature: ")
	f.servedBy, _, _ = strings.Cut(after, "\r\n")
	if !hasSignature || !strings.HasSuffix(answer, " to "+id) {
		f.c.d.broken("MIXED: request %s got the answer %q", id, answer)
	}
	f.c.d.answered.Add(1)
	f.c.d.log("answered %s by %s", id, f.servedBy)
	return nil
}

// finish closes the flow.
func (f *flow) finish() {
	f.isOpen.Store(false)
	f.send(&packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
}

// abandon forgets the flow, as a client does that gives up.
func (f *flow) abandon() {
	f.isOpen.Store(false)
	f.c.mu.Lock()
	delete(f.c.flows, f.key)
	f.c.mu.Unlock()
}

func (f *flow) send(p *packet) {
	p.src, p.dst = f.key.client, f.key.route
	to := f.c.d.routerFor(f.key)
	if to.IsValid() {
		_, _ = f.c.socket.WriteToUDPAddrPort(p.encode(), to)
	}
}
