//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_ms of the small deployments.
const heartbeatInterval = 1200 * time.Millisecond

// hostSlots is max_concurrency.
const hostSlots = 5

// flowKey identifies a flow at a host: the client's end and the address of the route.
type flowKey struct{ client, route netip.AddrPort }

// hostFlow is a flow at a host. It is half-open until the client acknowledges seq.
type hostFlow struct {
	opened, hasEnded bool
	// first is the host's first sequence number, seq its next one, and expected the client's next one.
	first, seq, expected uint32
	// clientFirst is the sequence number of the SYN.
	clientFirst uint32
	lastAnswer  []byte
	// openedAt is when the SYN arrived.
	openedAt, usedAt time.Time
}

// host stands in for a host. It serves one service and runs a request at once.
type host struct {
	d                       *deployment
	id, service, zone       string
	born                    int64
	app, outbound, announce netip.AddrPort
	socket                  *net.UDPConn
	health                  *http.Server

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	draining bool
	sequence int64
	stopped  chan struct{}
	isAlive  bool
	runs     []run
}

// run is a request that the host has run.
type run struct {
	request string
	// synAt is when the SYN of its flow arrived.
	synAt time.Time
}

// startHost starts a host on a side machine. Its heartbeats go to announce.
func (d *deployment) startHost(m *machine, id, service string, announce netip.AddrPort) *host {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.addr(portApp)))
	d.must(err)
	listener, err := net.Listen("tcp4", m.addr(portApp).String())
	d.must(err)
	h := &host{
		d: d, id: id, service: service, zone: "z1", born: time.Now().UnixMilli(), app: m.addr(portApp), outbound: m.addr(portOutbound),
		announce: announce, socket: socket, flows: make(map[flowKey]*hostFlow), stopped: make(chan struct{}), isAlive: true,
	}
	h.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = h.health.Serve(listener) }()
	go h.receive()
	go h.beat()
	d.log("host %s (born %d) of %s starts at %s", id, h.born, service, h.app)
	return h
}

// crash ends the host. It sends nothing.
func (h *host) crash() {
	h.mu.Lock()
	if !h.isAlive {
		h.mu.Unlock()
		return
	}
	h.isAlive = false
	h.mu.Unlock()
	close(h.stopped)
	_ = h.socket.Close()
	_ = h.health.Close()
	h.d.log("host %s ends", h.id)
}

// holds reports whether the host lives and holds a flow that is open.
func (h *host) holds(k flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[k]
	return h.isAlive && f != nil && f.opened && !f.hasEnded
}

// beat sends a heartbeat about every heartbeatInterval.
func (h *host) beat() {
	for {
		go func() { _ = h.sendHeartbeat() }()
		wait := time.Duration(float64(heartbeatInterval) * (0.97 + 0.06*rand.Float64()))
		select {
		case <-h.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// sendHeartbeat sends one heartbeat and returns nil if it is acknowledged within a second.
func (h *host) sendHeartbeat() error {
	h.mu.Lock()
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": h.service, "address": h.app.String(), "zone": h.zone, "version": "v1", "max_concurrency": hostSlots, "state": state,
		"warmup_left_ms": 0, "sequence": h.sequence, "born": h.born,
	})
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return put(h.announce, h.id, body)
}

// put sends a heartbeat over a connection of its own.
func put(to netip.AddrPort, id string, body []byte) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPut, "http://"+to.String()+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

// drain reports until the report is acknowledged that the host is draining. It returns the time of the acknowledgement.
func (h *host) drain() time.Time {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for {
		if err := h.sendHeartbeat(); err == nil {
			now := time.Now()
			h.d.log("host %s: draining is acknowledged", h.id)
			return now
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:n]...)
		p, err := decode(raw)
		if err != nil || !p.isSumValid {
			h.d.broken("UNASKED: host %s got a packet that its sender didn't write so", h.id)
			continue
		}
		if answer := h.handle(&p, raw); answer != nil {
			_, _ = h.socket.WriteToUDPAddrPort(answer, h.outbound)
		}
	}
}

// handle returns what the host sends in reply, or nil.
func (h *host) handle(p *packet, raw []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	k := flowKey{p.src, p.dst}
	f := h.flows[k]
	if f != nil && now.Sub(f.usedAt) > h.d.idleTimeout && !p.isSYN() {
		// A flow that has been idle for idle_timeout_ms is discarded.
		delete(h.flows, k)
		f = nil
	}
	if p.isSYN() {
		if f != nil && (f.hasEnded || p.seq != f.clientFirst) {
			f = nil // A new flow with the ends of an old one.
		}
		if f == nil {
			first := rand.Uint32()
			f = &hostFlow{first: first, seq: first, expected: p.seq, clientFirst: p.seq, openedAt: now}
			h.flows[k] = f
		}
		f.usedAt = now
		return (&packet{flags: flagSYN | flagACK, seq: f.first, ack: p.seq, src: p.dst, dst: p.src}).encode()
	}
	if f == nil || !f.opened && p.ack != f.first {
		raw[0] |= flagBounced
		raw[1] = 0
		return raw
	}
	f.opened, f.usedAt = true, now
	switch {
	case p.has(flagRST):
		delete(h.flows, k)
		return nil
	case f.hasEnded && p.has(flagFIN):
		return (&packet{flags: flagACK, seq: f.seq, ack: f.expected, src: p.dst, dst: p.src}).encode()
	case f.hasEnded && len(p.data) > 0:
		return (&packet{flags: flagRST, seq: f.seq, ack: f.expected, src: p.dst, dst: p.src}).encode()
	case p.has(flagFIN):
		f.hasEnded = true
		return (&packet{flags: flagFIN | flagACK, seq: f.seq, ack: p.seq, src: p.dst, dst: p.src}).encode()
	case len(p.data) == 0:
		return nil
	case p.seq != f.expected:
		return f.lastAnswer // A retransmission.
	}
	f.expected += uint32(len(p.data))
	h.runs = append(h.runs, run{request: requestID(p.data), synAt: f.openedAt})
	h.d.log("run %s at %s", requestID(p.data), h.id)
	body := fmt.Sprintf("answer of %s to %s", h.service, requestID(p.data))
	data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nGentianswitch-Server-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	answer := packet{flags: flagACK, seq: f.seq, ack: f.expected, src: p.dst, dst: p.src, data: data}
	f.seq += uint32(len(data))
	f.lastAnswer = answer.encode()
	return f.lastAnswer
}

// requestID returns the Gentianswitch-Request-Id of a request.
func requestID(data []byte) string {
	_, after, _ := strings.Cut(string(data), "Gentianswitch-Request-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}

// discardOlderThan discards the open flows that are older than an age, and returns their number.
func (h *host) discardOlderThan(age time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for k, f := range h.flows {
		if f.opened && !f.hasEnded && time.Since(f.openedAt) > age {
			delete(h.flows, k)
			n++
		}
	}
	return n
}
