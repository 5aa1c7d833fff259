// Package fabric implements a stand-in for the operators' network fabric: it forwards each datagram of a caller to a
// random balancer, and can delay, lose, reorder and duplicate datagrams and cut the network.
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

// Faults are the faults that the fabric simulates, in both directions.
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
	// Addresses are the addresses of the routes. The fabric receives the datagrams of callers on each of them.
	Addresses []netip.AddrPort
	// Balancers are the local IPs of the balancers, which receive on the same ports.
	Balancers []netip.Addr
	// Seed makes the choice of balancers and the faults reproducible.
	Seed uint64
}

const (
	// datagramBytes bounds the size of a datagram; longer ones are truncated.
	datagramBytes     = 2048
	socketBufferBytes = 4 << 20
	// reorderDelay is the additional delay of a reordered datagram.
	reorderDelay = 5 * time.Millisecond
	// callerIdle is the time without answers after which the fabric closes the socket of a caller.
	callerIdle = 90 * time.Second
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
		replaceFromBody(f, w, r, &f.faults)
	})
	mux.HandleFunc("PUT "+PathBalancers, func(w http.ResponseWriter, r *http.Request) {
		replaceFromBody(f, w, r, &f.settings.Balancers)
	})
	return mux
}

// replaceFromBody replaces a value that the mutex of f guards by the JSON in the body of r.
func replaceFromBody[T any](f *Fabric, w http.ResponseWriter, r *http.Request, value *T) {
	var next T
	if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	*value = next
}

// Run forwards datagrams until ctx is canceled.
func (f *Fabric) Run(ctx context.Context) error {
	var addresses sync.WaitGroup
	defer addresses.Wait()
	for _, a := range f.settings.Addresses {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
		if err != nil {
			return eris.Wrapf(err, "bind %s", a)
		}
		_ = socket.SetReadBuffer(socketBufferBytes)
		l := &listener{fabric: f, socket: socket, port: a.Port(), callers: make(map[netip.AddrPort]*net.UDPConn)}
		addresses.Go(func() { l.run(ctx) })
	}
	<-ctx.Done()
	return nil
}

// sendWithFaults applies the faults in force to a datagram and sends it unless it is lost. A duplicate is sent without delay.
func (f *Fabric) sendWithFaults(datagram []byte, send func([]byte)) {
	f.mu.Lock()
	faults := f.faults
	isLost := faults.Cut || f.random.Float64() < faults.Loss
	isDuplicated := f.random.Float64() < faults.Duplicate
	delay := time.Duration(faults.DelayMS) * time.Millisecond
	if f.random.Float64() < faults.Reorder {
		delay += reorderDelay
	}
	f.mu.Unlock()
	if isLost {
		return
	}
	if delay > 0 {
		copied := append([]byte(nil), datagram...)
		time.AfterFunc(delay, func() { send(copied) })
	} else {
		send(datagram)
	}
	if isDuplicated {
		send(datagram)
	}
}

func (f *Fabric) pickBalancer() netip.Addr {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings.Balancers[f.random.IntN(len(f.settings.Balancers))]
}

// listener receives on the address of one route. It sends the datagrams of each caller to the balancers from a separate
// socket, so that balancers see a different address for each caller.
type listener struct {
	fabric *Fabric
	socket *net.UDPConn
	port   uint16
	mu     sync.Mutex
	// callers holds the socket toward the balancers of each caller.
	callers map[netip.AddrPort]*net.UDPConn
}

func (l *listener) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	buffer := make([]byte, datagramBytes)
	for {
		n, caller, err := l.socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		socket, err := l.callerSocket(ctx, caller)
		if err != nil {
			continue
		}
		balancer := netip.AddrPortFrom(l.fabric.pickBalancer(), l.port)
		l.fabric.sendWithFaults(buffer[:n], func(datagram []byte) { _, _ = socket.WriteToUDPAddrPort(datagram, balancer) })
	}
}

func (l *listener) callerSocket(ctx context.Context, caller netip.AddrPort) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if existing := l.callers[caller]; existing != nil {
		return existing, nil
	}
	opened, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "open caller socket")
	}
	l.callers[caller] = opened
	go l.forwardAnswers(ctx, caller, opened)
	return opened, nil
}

// forwardAnswers forwards the answers of the balancers to one caller until none has come for callerIdle.
func (l *listener) forwardAnswers(ctx context.Context, caller netip.AddrPort, from *net.UDPConn) {
	defer l.closeCaller(caller, from)
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		if err := from.SetReadDeadline(time.Now().Add(callerIdle)); err != nil {
			return
		}
		n, _, err := from.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		l.fabric.sendWithFaults(buffer[:n], func(datagram []byte) { _, _ = l.socket.WriteToUDPAddrPort(datagram, caller) })
	}
}

func (l *listener) closeCaller(caller netip.AddrPort, socket *net.UDPConn) {
	_ = socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callers, caller)
}

func (l *listener) close() {
	_ = l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, socket := range l.callers {
		_ = socket.Close()
	}
}
