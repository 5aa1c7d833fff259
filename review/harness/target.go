//go:build review

package harness

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Header of a packet (PROTOCOL.md, "Packets").
const (
	headerBytes = 32
	flagFIN     = 2
	flagSYN     = 4
	flagBounced = 8
	flagACK     = 32
	flagRST     = 64
)

// Slots is the number of requests that a target runs at once.
const Slots = 5

// Target stands in for a host beside an agent. It holds flows and answers each request, which is one packet, with its id and the
// request. It sends a heartbeat every heartbeat_ms, the first one at its start.
type Target struct {
	ID, Service, Zone string
	// Born is the Unix millisecond of the start, by the clock of the target's machine.
	Born int64

	socket            *net.UDPConn
	outbound, control netip.AddrPort
	client            http.Client

	mu         sync.Mutex
	flows      map[netip.AddrPort]*heldFlow
	runs       map[string]int
	syns       []time.Time
	sequence   int64
	sentAt     time.Time
	isDraining bool
	closed     chan struct{}
	closeOnce  sync.Once
}

// heldFlow is a flow of a target: its own sequence number, and that of the client up to which it has run requests.
type heldFlow struct {
	seq, handledTo uint32
	isOpen         bool
}

// StartTarget starts a target beside the agent of a machine.
func (c *Cluster) StartTarget(m *Machine, id, service string, born int64) *Target {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.App(m)))
	if err != nil {
		c.NoRun("target %s: %v", id, err)
	}
	t := &Target{
		ID: id, Service: service, Zone: m.Zone, Born: born, socket: socket, outbound: c.Outbound(m), control: c.Control(m),
		client: http.Client{Timeout: time.Second}, flows: map[netip.AddrPort]*heldFlow{}, runs: map[string]int{},
		closed: make(chan struct{}),
	}
	c.Log("target %s of service %s starts on %s, born %d", id, service, m.Name, born)
	go t.receive()
	go t.beat()
	return t
}

// Crash ends the target without a word.
func (t *Target) Crash() {
	t.closeOnce.Do(func() {
		close(t.closed)
		_ = t.socket.Close()
		t.client.CloseIdleConnections()
	})
}

// Drain reports that the target drains. It returns the status of the answer.
func (t *Target) Drain() (int, error) {
	t.mu.Lock()
	t.isDraining = true
	t.mu.Unlock()
	return t.sendHeartbeat()
}

// Holds reports whether the target runs and holds the open flow of a client's end.
func (t *Target) Holds(client netip.AddrPort) bool {
	select {
	case <-t.closed:
		return false
	default:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[client]
	return f != nil && f.isOpen
}

// SYNsSince returns how many opening packets have arrived since a time.
func (t *Target) SYNsSince(since time.Time) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.syns {
		if at.After(since) {
			count++
		}
	}
	return count
}

func (t *Target) beat() {
	for {
		// A heartbeat without an answer is followed by the next one.
		_, _ = t.sendHeartbeat()
		select {
		case <-t.closed:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// Body returns the body of the next heartbeat.
func (t *Target) Body() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	state := "ready"
	if t.isDraining {
		state = "draining"
	}
	return map[string]any{
		"service": t.Service, "address": t.socket.LocalAddr().String(), "zone": t.Zone, "version": "v1", "max_concurrency": Slots,
		"state": state, "warmup_left_ms": 0, "sequence": t.sequence, "born": t.Born,
	}
}

func (t *Target) sendHeartbeat() (int, error) {
	body := t.Body()
	t.mu.Lock()
	t.sentAt = time.Now()
	t.mu.Unlock()
	return t.Deliver(body)
}

// HasJustSentHeartbeat reports whether the target has sent a heartbeat in the last 100 ms.
func (t *Target) HasJustSentHeartbeat() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := time.Since(t.sentAt)
	return 30*time.Millisecond < age && age < 100*time.Millisecond
}

// Deliver sends a heartbeat to the agent, and returns the status of the answer.
func (t *Target) Deliver(body map[string]any) (int, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/instances/%s", t.control, t.ID), bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Content-Length", strconv.Itoa(len(raw)))
	answer, err := t.client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = answer.Body.Close()
	return answer.StatusCode, nil
}

func (t *Target) receive() {
	buffer := make([]byte, 2048)
	for {
		size, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size >= headerBytes {
			if answer := t.handle(append([]byte(nil), buffer[:size]...)); answer != nil {
				_, _ = t.socket.WriteToUDPAddrPort(answer, t.outbound)
			}
		}
	}
}

// handle returns the packet that answers a packet, or nil.
func (t *Target) handle(raw []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	flags, seq, ack := raw[0], binary.LittleEndian.Uint32(raw[8:]), binary.LittleEndian.Uint32(raw[12:])
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{raw[25], raw[24], raw[23], raw[22]}), binary.LittleEndian.Uint16(raw[26:]))
	payload := raw[headerBytes:]
	f := t.flows[client]
	answer := make([]byte, headerBytes)
	copy(answer[20:22], raw[26:28])
	copy(answer[22:26], raw[28:32])
	copy(answer[26:28], raw[20:22])
	copy(answer[28:32], raw[22:26])
	switch {
	case flags&flagSYN != 0 && flags&flagACK == 0:
		t.syns = append(t.syns, time.Now())
		if f == nil {
			f = &heldFlow{seq: uint32(t.Born)<<10 + uint32(len(t.syns))}
			t.flows[client] = f
		}
		answer[0] = flagSYN | flagACK
		binary.LittleEndian.PutUint32(answer[8:], f.seq)
		binary.LittleEndian.PutUint32(answer[12:], seq)
		return answer
	case f == nil || ack != f.seq:
		raw[0] |= flagBounced
		raw[1] = 0
		return raw
	}
	f.isOpen = true
	switch {
	case flags&(flagRST|flagFIN) != 0:
		delete(t.flows, client)
		return nil
	case len(payload) == 0:
		return nil
	}
	if end := seq + uint32(len(payload)); int32(end-f.handledTo) > 0 {
		f.handledTo = end
		t.runs[string(payload)]++
	}
	text := t.ID + " " + string(payload)
	answer[0] = flagACK
	binary.LittleEndian.PutUint16(answer[2:], uint16(len(text)))
	binary.LittleEndian.PutUint32(answer[8:], f.seq)
	binary.LittleEndian.PutUint32(answer[12:], seq+uint32(len(payload)))
	return append(answer, text...)
}
