//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Errors of flows.
var (
	errReset    = errors.New("the system reset the flow")
	errOwnReset = errors.New("the server reset the flow")
	errTimeout  = errors.New("no answer until the deadline")
)

// clientHost receives the packets of all flows of one client address.
type clientHost struct {
	d      *deployment
	socket *net.UDPConn
	ip     netip.Addr

	mu       sync.Mutex
	flows    map[uint16]*clientFlow
	nextPort uint16
	forged   int
}

func newClientHost(d *deployment, ip netip.Addr) (*clientHost, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.at(ip, portData)))
	if err != nil {
		return nil, err
	}
	h := &clientHost{d: d, socket: socket, ip: ip, flows: make(map[uint16]*clientFlow), nextPort: uint16(20_000 + rand.IntN(20_000))}
	go h.receive()
	return h, nil
}

func (h *clientHost) receive() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:size]...)
		p, ok := decode(raw)
		if !ok {
			continue
		}
		h.mu.Lock()
		f := h.flows[p.dst.Port()]
		isSystemReset := p.has(flagReset) && p.sum == 0 && len(p.payload) == 0
		if !isSystemReset && !isGenuine(raw) {
			h.forged++
			h.mu.Unlock()
			continue
		}
		h.mu.Unlock()
		if f != nil && p.src == f.route {
			select {
			case f.inbox <- p:
			default:
			}
		}
	}
}

// clientFlow is a flow of a client. Its methods are called by one goroutine.
type clientFlow struct {
	host     *clientHost
	end      netip.AddrPort
	route    netip.AddrPort
	inbox    chan packet
	seq, ack uint32
	isOpen   bool
	openedAt time.Time
	// lastPacketAt is when the client last sent or received a packet on the flow.
	lastPacketAt time.Time
	// resetAt is when the system reset the open flow.
	resetAt time.Time
	// server names the server that answered last.
	server   string
	requests int
}

func (h *clientHost) newFlow(route netip.AddrPort) *clientFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextPort++
	f := &clientFlow{
		host: h, end: netip.AddrPortFrom(h.ip, h.nextPort), route: route, inbox: make(chan packet, 64), seq: rand.Uint32(),
	}
	h.flows[h.nextPort] = f
	return f
}

func (f *clientFlow) close() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	delete(f.host.flows, f.end.Port())
}

func (f *clientFlow) send(p *packet) {
	p.src, p.dst = f.end, f.route
	f.lastPacketAt = time.Now()
	if to, ok := f.host.d.route(f.end, f.route); ok {
		_, _ = f.host.socket.WriteToUDPAddrPort(p.encode(), to)
	}
}

// await waits for a packet for which isExpected holds. A reset that the client takes ends it.
func (f *clientFlow) await(until time.Time, isExpected func(*packet) bool) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return errTimeout
		case p := <-f.inbox:
			f.lastPacketAt = time.Now()
			if p.has(flagReset) {
				if err := f.takeReset(&p); err != nil {
					return err
				}
				continue
			}
			if len(p.payload) > 0 && f.isOpen && int32(p.seq-f.ack) < 0 {
				// The server has sent an answer again because its acknowledgement was lost.
				f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				continue
			}
			if isExpected(&p) {
				return nil
			}
		}
	}
}

// takeReset returns the error for a reset, or nil if the client ignores it.
func (f *clientFlow) takeReset(p *packet) error {
	if p.sum != 0 {
		return errOwnReset
	}
	if distance := int32(p.seq - f.ack); f.isOpen && (distance > resetWindow || distance < -resetWindow) {
		return nil
	}
	f.resetAt = time.Now()
	return errReset
}

// open opens the flow with up to three opening packets.
func (f *clientFlow) open() error {
	start, sent := time.Now(), []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	isn := f.seq
	for copies := range 3 {
		f.send(&packet{flags: flagOpen, seq: isn, ack: uint32(copies)})
		var accepted packet
		err := f.await(start.Add(sent[copies+1]), func(p *packet) bool { accepted = *p; return p.has(flagOpen) && p.has(flagAck) })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			return err
		}
		f.seq, f.ack, f.isOpen, f.openedAt = isn+1, accepted.seq, true, time.Now()
		f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
		return nil
	}
	return errTimeout
}

// request sends a request on which the server works for a time, and returns an error unless its whole answer arrives in time.
func (f *clientFlow) request(id string, work, deadline time.Duration) error {
	f.requests++
	text := fmt.Sprintf("POST /busy/%d HTTP/1.1\r\nHost: desk\r\nGentianswitch-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", work.Milliseconds(), id)
	f.host.d.record.line("client: flow %v sends %s", f.end, id)
	until := time.Now().Add(deadline)
	isAcked := false
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		if !isAcked {
			f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack, payload: []byte(text)})
		}
		var answer packet
		round := time.Now().Add(wait)
		if round.After(until) || isAcked {
			round = until
		}
		err := f.await(round, func(p *packet) bool {
			if int32(p.ack-f.seq) >= int32(len(text)) {
				isAcked = true
			}
			answer = *p
			return len(p.payload) > 0 && p.seq == f.ack && strings.HasSuffix(string(p.payload), " ran "+id)
		})
		switch {
		case err == nil:
			f.seq += uint32(len(text))
			f.ack += uint32(len(answer.payload))
			body := string(answer.payload)
			body = body[strings.LastIndex(body, "\r\n\r\n")+4:]
			f.server, _, _ = strings.Cut(body, " ran ")
			f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
			f.host.d.record.line("client: flow %v, %s is answered by %s", f.end, id, f.server)
			return nil
		case !errors.Is(err, errTimeout):
			return err
		case !time.Now().Before(until):
			return errTimeout
		}
	}
}

// pause waits for a time in which the client sends nothing. It returns the error of a reset that arrives meanwhile.
func (f *clientFlow) pause(d time.Duration) error {
	last := f.lastPacketAt
	err := f.await(time.Now().Add(d), func(*packet) bool { return false })
	if errors.Is(err, errTimeout) {
		f.lastPacketAt = last
		return nil
	}
	return err
}
