// Package fabric implements a stand-in for the operators' network fabric: it sprays each datagram of a caller over the
// balancers and can delay, lose, reorder, duplicate and cut.
package fabric

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Paths of the handler.
const (
	// PathFaults is the path at which PUT replaces the Faults, as JSON.
	PathFaults = "/faults"
	// PathBalancers is the path at which PUT replaces the local IPs of the balancers, as a JSON list of strings.
	PathBalancers = "/balancers"
)

// Faults are the faults in force, for both directions.
type Faults struct {
	// Loss, Duplicate and Reorder are probabilities for each datagram, 0 to 1.
	Loss      float64 `json:"loss"`
	Duplicate float64 `json:"duplicate"`
	Reorder   float64 `json:"reorder"`
	// DelayMS delays each datagram by this number of milliseconds.
	DelayMS int `json:"delay_ms"`
	// Cut drops every datagram.
	Cut bool `json:"cut"`
}

// Settings are the settings of a fabric.
type Settings struct {
	// Addresses are the routes' addresses that callers use. The fabric receives on each.
	Addresses []netip.AddrPort
	// Balancers are the local IPs of the balancers, which receive on the ports of the addresses.
	Balancers []netip.Addr
	// Seed makes the spraying and the faults repeatable.
	Seed uint64
}

const (
	datagramBytes     = 2048
	socketBufferBytes = 4 << 20
	reorderDelay      = 5 * time.Millisecond
	callerIdle        = 90 * time.Second
)

// Fabric is a running fabric.
type Fabric struct {
	settings Settings
	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
}

// New returns a fabric that is not yet running.
func New(settings Settings) *Fabric {
	return &Fabric{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, settings.Seed))}
}

// Handler returns the HTTP handler that changes the faults and the balancers.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		replace(f, w, r, &f.faults)
	})
	mux.HandleFunc("PUT "+PathBalancers, func(w http.ResponseWriter, r *http.Request) {
		replace(f, w, r, &f.settings.Balancers)
	})
	return mux
}

// replace decodes the body of r into a value that the mutex of f guards.
func replace[T any](f *Fabric, w http.ResponseWriter, r *http.Request, value *T) {
	var next T
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	*value = next
}

// Run sprays until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	var addresses sync.WaitGroup
	defer addresses.Wait()
	for _, a := range f.settings.Addresses {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
		if err != nil {
			return eris.Wrapf(err, "bind %s", a)
		}
		_ = socket.SetReadBuffer(socketBufferBytes)
		front := &front{fabric: f, socket: socket, port: a.Port(), callers: make(map[netip.AddrPort]*net.UDPConn)}
		addresses.Go(func() { front.run(ctx) })
	}
	<-ctx.Done()
	return nil
}

// carry sends a datagram with the faults in force.
func (f *Fabric) carry(datagram []byte, send func([]byte)) {
	f.mu.Lock()
	faults := f.faults
	isLost := faults.Cut || f.random.Float64() < faults.Loss
	isTwice := f.random.Float64() < faults.Duplicate
	delay := time.Duration(faults.DelayMS) * time.Millisecond
	if f.random.Float64() < faults.Reorder {
		delay += reorderDelay
	}
	f.mu.Unlock()
	if isLost {
		return
	}
	if delay > 0 {
		kept := append([]byte(nil), datagram...)
		time.AfterFunc(delay, func() { send(kept) })
	} else {
		send(datagram)
	}
	if isTwice {
		send(datagram)
	}
}

func (f *Fabric) pickBalancer() netip.Addr {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings.Balancers[f.random.IntN(len(f.settings.Balancers))]
}

// front is the socket of one route's address. Each caller has a socket of its own towards the balancers, so that
// balancers see one address for each caller.
type front struct {
	fabric  *Fabric
	socket  *net.UDPConn
	port    uint16
	mu      sync.Mutex
	callers map[netip.AddrPort]*net.UDPConn
}

func (f *front) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	buffer := make([]byte, datagramBytes)
	for {
		n, caller, err := f.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		towards, err := f.callerSocket(ctx, caller)
		if err != nil {
			continue
		}
		balancer := netip.AddrPortFrom(f.fabric.pickBalancer(), f.port)
		f.fabric.carry(buffer[:n], func(datagram []byte) { _, _ = towards.WriteToUDPAddrPort(datagram, balancer) })
	}
}

func (f *front) callerSocket(ctx context.Context, caller netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.callers[caller]; known != nil {
		return known, nil
	}
	opened, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "open caller socket")
	}
	f.callers[caller] = opened
	go f.returnTo(ctx, caller, opened)
	return opened, nil
}

// returnTo carries the answers of the balancers to one caller until it is idle.
func (f *front) returnTo(ctx context.Context, caller netip.AddrPort, from *net.UDPConn) {
	defer f.forget(caller, from)
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		if err := from.SetReadDeadline(time.Now().Add(callerIdle)); err != nil {
			return
		}
		n, _, err := from.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		f.fabric.carry(buffer[:n], func(datagram []byte) { _, _ = f.socket.WriteToUDPAddrPort(datagram, caller) })
	}
}

func (f *front) forget(caller netip.AddrPort, socket *net.UDPConn) {
	_ = socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, caller)
}

func (f *front) close() {
	_ = f.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, socket := range f.callers {
		_ = socket.Close()
	}
}
