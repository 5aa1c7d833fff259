//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// heartbeatTimeout is the time within which the answer to a heartbeat has to arrive.
	heartbeatTimeout = time.Second
	serverSlots      = 5
	maxRetransmits   = 8
)

// server stands in for a server (host) beside an agent. It keeps to the users' page on packets, flows, servers and discovery.
type server struct {
	id, service, zone string
	born              int64
	inbound           *net.UDPConn
	health            net.Listener
	outbound          netip.AddrPort
	url               string
	record            *recorder

	mu          sync.Mutex
	flows       map[netip.AddrPort]*serverFlow
	idleTimeout time.Duration
	sequence    int64
	isDraining  bool
	ackedDrain  time.Time
	runs        map[string]int
	// openings are the times at which SYNs that the server took arrived.
	openings []time.Time
	forged   int
	ended    chan struct{}
}

// serverFlow is a flow that the server holds, possibly half-open.
type serverFlow struct {
	dst          netip.AddrPort
	clientISN    uint32
	isn, nextSeq uint32
	received     uint32
	isOpen       bool
	lastPacketAt time.Time
	unacked      []byte
	unackedEnd   uint32
	retransmits  int
	retransmitAt time.Time
}

func newServer(d *deployment, id, service, zone string, ip netip.Addr) (*server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.at(ip, portApp)))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", d.at(ip, portApp).String())
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), inbound: socket, health: health,
		outbound: d.at(ip, portOutbound), url: "http://" + d.at(ip, portControl).String() + "/v1/instances/" + id,
		record: d.record, flows: make(map[netip.AddrPort]*serverFlow), idleTimeout: 15 * time.Second,
		runs: make(map[string]int), ended: make(chan struct{}),
	}
	go func() {
		_ = http.Serve(health, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") }))
	}()
	go s.receive()
	go s.beat()
	go s.maintain()
	return s, nil
}

func (s *server) stop() {
	select {
	case <-s.ended:
		return
	default:
	}
	close(s.ended)
	_ = s.inbound.Close()
	_ = s.health.Close()
}

// beat sends a heartbeat in each interval.
func (s *server) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.heartbeat()
		select {
		case <-s.ended:
			return
		case <-ticker.C:
		}
	}
}

var heartbeatClient = &http.Client{Timeout: heartbeatTimeout}

func (s *server) heartbeat() {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.isDraining {
		state = "draining"
	}
	body := map[string]any{
		"service": s.service, "address": s.inbound.LocalAddr().String(), "zone": s.zone, "version": "v1",
		"max_concurrency": serverSlots, "state": state, "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	status := put(s.url, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status/100 == 2 && state == "draining" && s.ackedDrain.IsZero() {
		s.ackedDrain = time.Now()
		s.record.line("server %s: its report that it drains, sequence %d, was acknowledged with %d", s.id, s.sequence, status)
	} else if status/100 != 2 {
		s.record.line("server %s: heartbeat %d (%s) was answered with %d", s.id, s.sequence, state, status)
	}
}

// put sends a heartbeat and returns the status of its answer, or 0 if there is none in time.
func put(url string, body map[string]any) int {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := heartbeatClient.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

// drain makes the server report that it drains.
func (s *server) drain() {
	s.mu.Lock()
	s.isDraining = true
	s.mu.Unlock()
}

func (s *server) setIdleTimeout(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleTimeout = timeout
}

// holds reports whether the server runs and holds the open flow of a client's end.
func (s *server) holds(client netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		return false
	default:
	}
	f := s.flows[client]
	return f != nil && f.isOpen
}

// openFlows returns the number of open flows.
func (s *server) openFlows() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, f := range s.flows {
		if f.isOpen {
			n++
		}
	}
	return n
}

func (s *server) receive() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := s.inbound.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buffer[:size]...)
		p, ok := decode(raw)
		if !ok || !isGenuine(raw) {
			s.mu.Lock()
			s.forged++
			s.mu.Unlock()
			continue
		}
		for _, answer := range s.handle(&p, raw) {
			s.send(answer)
		}
	}
}

func (s *server) send(raw []byte) { _, _ = s.inbound.WriteToUDPAddrPort(raw, s.outbound) }

// handle handles a packet and returns the packets that the server sends for it.
func (s *server) handle(p *packet, raw []byte) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f := s.flows[p.src]
	if f != nil && f.isOpen && now.Sub(f.lastPacketAt) > s.idleTimeout {
		s.discard(p.src, f, now)
		f = nil
	}
	if p.isOpening() {
		if f == nil || p.seq != f.clientISN {
			f = &serverFlow{dst: p.dst, clientISN: p.seq, isn: rand.Uint32(), received: p.seq + 1}
			f.nextSeq = f.isn
			s.flows[p.src] = f
			s.openings = append(s.openings, now)
		}
		f.lastPacketAt = now
		return [][]byte{(&packet{flags: flagOpen | flagAck, seq: f.isn, ack: f.received, src: p.dst, dst: p.src}).encode()}
	}
	if f == nil || !f.isOpen && p.ack != f.isn {
		raw[0] |= flagBounced
		raw[1] = 0
		return [][]byte{raw}
	}
	if !f.isOpen {
		f.isOpen = true
	}
	f.lastPacketAt = now
	if len(f.unacked) > 0 && int32(p.ack-f.unackedEnd) >= 0 {
		f.unacked = nil
	}
	switch {
	case p.has(flagReset):
		delete(s.flows, p.src)
		return nil
	case p.has(flagFinish):
		delete(s.flows, p.src)
		fin := packet{flags: flagFinish | flagAck, seq: f.nextSeq, ack: p.seq + 1, src: p.dst, dst: p.src}
		return [][]byte{fin.encode()}
	case len(p.payload) == 0:
		return nil
	case p.seq == f.received:
		f.received += uint32(len(p.payload))
		s.run(p.src, f, string(p.payload))
	}
	return [][]byte{(&packet{flags: flagAck, seq: f.nextSeq, ack: f.received, src: p.dst, dst: p.src}).encode()}
}

func (s *server) discard(client netip.AddrPort, f *serverFlow, now time.Time) {
	delete(s.flows, client)
	s.record.line("server %s: discards the flow of %v, idle for %d ms (limit %d ms)", s.id, client,
		now.Sub(f.lastPacketAt).Milliseconds(), s.idleTimeout.Milliseconds())
}

// run runs a request and answers it after the time that its path names. The caller holds mu.
func (s *server) run(client netip.AddrPort, f *serverFlow, request string) {
	id, work := parseRequest(request)
	s.runs[id]++
	s.record.line("server %s: runs %s of %v", s.id, id, client)
	time.AfterFunc(work, func() {
		s.mu.Lock()
		if s.flows[client] != f {
			s.mu.Unlock()
			return
		}
		body := s.id + " ran " + id
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nGentianswitch-Server-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body)
		raw := (&packet{flags: flagAck, seq: f.nextSeq, ack: f.received, src: f.dst, dst: client, payload: []byte(response)}).encode()
		f.nextSeq += uint32(len(response))
		f.unacked, f.unackedEnd, f.retransmits, f.lastPacketAt = raw, f.nextSeq, 0, time.Now()
		f.retransmitAt = time.Now().Add(200 * time.Millisecond)
		s.mu.Unlock()
		s.send(raw)
	})
}

// maintain retransmits answers and discards idle flows.
func (s *server) maintain() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-ticker.C:
		}
		now := time.Now()
		var due [][]byte
		s.mu.Lock()
		for client, f := range s.flows {
			switch {
			case now.Sub(f.lastPacketAt) > s.idleTimeout:
				if f.isOpen {
					s.discard(client, f, now)
				} else {
					delete(s.flows, client)
				}
			case len(f.unacked) > 0 && now.After(f.retransmitAt):
				if f.retransmits == maxRetransmits {
					s.record.line("server %s: gives up the flow of %v after %d retransmissions", s.id, client, maxRetransmits)
					delete(s.flows, client)
					continue
				}
				f.retransmits++
				f.retransmitAt = now.Add(min(200*time.Millisecond<<f.retransmits, 1600*time.Millisecond))
				due = append(due, f.unacked)
			}
		}
		s.mu.Unlock()
		for _, raw := range due {
			s.send(raw)
		}
	}
}

// parseRequest returns the id of a request and the time that its path asks the server to be busy.
func parseRequest(request string) (id string, work time.Duration) {
	for _, line := range strings.Split(request, "\r\n") {
		if rest, ok := strings.CutPrefix(line, "Gentianswitch-Request-Id: "); ok {
			id = rest
		}
		if rest, ok := strings.CutPrefix(line, "POST /busy/"); ok {
			ms, _, _ := strings.Cut(rest, " ")
			if parsed, err := time.ParseDuration(ms + "ms"); err == nil {
				work = parsed
			}
		}
	}
	return id, work
}
