//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentianswitch/platform/standin"
)

// Ports of a deployment, counted from its first port. Each machine has a loopback address of its own.
const (
	portData = iota
	portPeer
	portReady
	portOutbound
	portControl
	portApp
	portMetrics
	portCount
)

const configurationKey = "op/config"

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment on loopback addresses: real balancers and agents beside stand-ins of the store, the servers, the
// routers and the clients.
type deployment struct {
	record    *recorder
	folder    string
	firstPort uint16
	network   byte
	store     *standin.Store

	balancers []*process
	agents    []*process
	servers   []*server
	clients   *clientHost
	version   uint64
	// document is the last configuration that the operator has written.
	document []byte
	requests atomic.Int64
	ready    atomic.Pointer[[]netip.AddrPort]
	// cut is the balancer to which the packets of clients are lost, or nil.
	cut    atomic.Pointer[netip.Addr]
	cancel context.CancelFunc
}

// process is a balancer or an agent.
type process struct {
	name    string
	ip      netip.Addr
	args    []string
	env     []string
	log     string
	command *exec.Cmd
	exited  chan struct{}
}

func newDeployment(record *recorder) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, folder: folder, network: byte(64 + rand.IntN(128)), store: standin.NewStore()}
	if d.firstPort, err = d.findPorts(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.ready.Store(&[]netip.AddrPort{})
	if d.clients, err = newClientHost(d, d.address(200)); err != nil {
		return nil, err
	}
	go d.probe(ctx)
	return d, nil
}

// findPorts returns the first of a block of ports that are free at the addresses of the deployment.
func (d *deployment) findPorts() (uint16, error) {
	for range 50 {
		first := uint16(12_000 + rand.IntN(18_000))
		if d.areFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free block of ports")
}

func (d *deployment) areFree(first uint16) bool {
	for _, machine := range []int{1, 2, 3, 101, 102, 103, 104, 200} {
		for port := range portCount {
			address := netip.AddrPortFrom(d.address(machine), first+uint16(port)).String()
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			_ = listener.Close()
			socket, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			_ = socket.Close()
		}
	}
	return true
}

// address returns the loopback address of a machine.
func (d *deployment) address(machine int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, 3, byte(machine)})
}

func (d *deployment) at(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, d.firstPort+uint16(port))
}

// configure writes the next version of the configuration, as the operator does.
func (d *deployment) configure(routes map[netip.AddrPort]string, timeout, idle time.Duration) {
	d.version += 3
	list := []map[string]any{}
	services := map[string]bool{}
	for route, service := range routes {
		services[service] = true
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%s-%d", service, route.Port()), "hostname": route.Addr().String(), "prefix": fmt.Sprintf("/%d/", route.Port()),
			"type": "unsafe", "timeout_ms": timeout.Milliseconds(), "goal_ms": 250, "priority": 1, "service": service, "max_attempts": 2,
		})
	}
	named := []map[string]any{}
	for service := range services {
		named = append(named, map[string]any{"name": service, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	raw, err := json.Marshal(map[string]any{
		"version": d.version, "routes": list, "services": named,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idle.Milliseconds(),
		},
	})
	if err != nil {
		panic(err)
	}
	d.document = raw
	d.store.Put(configurationKey, raw)
	d.record.line("operator: configuration %d is acknowledged; idle_timeout_ms is %d", d.version, idle.Milliseconds())
}

// addBalancer starts a balancer with the settings of deploy/balancer.yaml.
func (d *deployment) addBalancer(zone string) error {
	ip := d.address(1 + len(d.balancers))
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", d.at(d.address(1+n), portControl)))
	}
	settings := fmt.Sprintf("zone: %q\ndata: %q\nready: %q\npeer: %q\nstore: %q\nseeds: [%s]\nmetrics: %q\n",
		zone, d.at(ip, portData), d.at(ip, portReady), d.at(ip, portPeer), d.store.Address(), strings.Join(seeds, ","), d.at(ip, portMetrics))
	p, err := d.start("gentian-balancer", fmt.Sprintf("front-%d", 1+len(d.balancers)), ip, settings, nil)
	d.balancers = append(d.balancers, p)
	return err
}

// addServer starts an agent with the settings of deploy/agent.yaml, and the server beside it.
func (d *deployment) addServer(service, zone string) (*server, error) {
	n := len(d.agents) + 1
	ip := d.address(100 + n)
	settings := fmt.Sprintf("zone: %q\ndata: %q\noutbound: %q\nannounce: %q\ntarget: %q\nservice: %q\nheartbeat: \"1200ms\"\npeer: %q\nstore: %q\nmetrics: %q\ngrace: \"6s\"\nflow-lifetime: \"60s\"\n",
		zone, d.at(ip, portData), d.at(ip, portOutbound), d.at(ip, portControl), d.at(ip, portApp), service, d.at(ip, portPeer),
		d.store.Address(), d.at(ip, portMetrics))
	env := []string{"GENTIAN_WARM_UP_EXCESS=", "GENTIAN_WARM_UP_SLACK=", "GENTIAN_PROBE_TARGET=true"}
	p, err := d.start("gentian-agent", fmt.Sprintf("side-%d", n), ip, settings, env)
	if err != nil {
		return nil, err
	}
	d.agents = append(d.agents, p)
	time.Sleep(100 * time.Millisecond)
	s, err := newServer(d, fmt.Sprintf("i-%s-%d", service, n), service, zone, ip)
	if err == nil {
		d.servers = append(d.servers, s)
	}
	return s, err
}

func (d *deployment) start(program, name string, ip netip.Addr, settings string, env []string) (*process, error) {
	path := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{
		name: name, ip: ip, args: []string{filepath.Join("target", program), "opaque", "--settings", path},
		env: append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...), log: filepath.Join(d.folder, name+".log"),
	}
	return p, p.run()
}

func (p *process) run() error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env, p.command.Stdout, p.command.Stderr = p.env, file, file
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(p.command, p.exited)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// logged returns the lines of the process's log that contain a text.
func (p *process) logged(text string) (lines []string) {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// probe checks twice a second which balancers are ready, as routers do.
func (d *deployment) probe(ctx context.Context) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	misses := map[netip.Addr]int{}
	for {
		var inRotation []netip.AddrPort
		for n := 1; n <= len(d.balancers); n++ {
			ip := d.address(n)
			answer, err := client.Get("http://" + d.at(ip, portReady).String() + "/v1/readyz")
			isReady := err == nil && answer.StatusCode == http.StatusOK
			if err == nil {
				_ = answer.Body.Close()
			}
			if isReady {
				misses[ip] = 0
			} else if _, isKnown := misses[ip]; isKnown {
				misses[ip]++
			} else {
				continue
			}
			if misses[ip] < 2 {
				inRotation = append(inRotation, d.at(ip, portData))
			}
		}
		d.ready.Store(&inRotation)
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// route returns the balancer that routers choose for a packet: by a hash over those in rotation.
func (d *deployment) route(src, dst netip.AddrPort) (netip.AddrPort, bool) {
	inRotation := *d.ready.Load()
	if len(inRotation) == 0 {
		return netip.AddrPort{}, false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(src.String() + dst.String()))
	to := inRotation[int(hash.Sum32())%len(inRotation)]
	if cut := d.cut.Load(); cut != nil && *cut == to.Addr() {
		return netip.AddrPort{}, false
	}
	return to, true
}

// awaitReady waits until all balancers are in rotation and know all agents.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if len(*d.ready.Load()) == len(d.balancers) && d.knowAllAgents() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the deployment is not ready after 20 s")
}

func (d *deployment) knowAllAgents() bool {
	for _, b := range d.balancers {
		for _, a := range d.agents {
			if len(b.logged(`"agent":"`+a.ip.String()+`"`)) == 0 {
				return false
			}
		}
	}
	return true
}

// nextID returns the id of a new request.
func (d *deployment) nextID() string { return fmt.Sprintf("q-%d", d.requests.Add(1)) }

// holder returns the server that holds the open flow of a client's end, or nil.
func (d *deployment) holder(end netip.AddrPort) *server {
	for _, s := range d.servers {
		if s.holds(end) {
			return s
		}
	}
	return nil
}

// named returns the server with an id, or nil.
func (d *deployment) named(id string) *server {
	for _, s := range d.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// stop ends everything that the deployment has started.
func (d *deployment) stop() {
	d.cancel()
	for _, s := range d.servers {
		s.stop()
	}
	for _, p := range append(append([]*process(nil), d.balancers...), d.agents...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	_ = d.clients.socket.Close()
	d.store.Close()
	_ = os.RemoveAll(d.folder)
}

// awaitEra waits until the store holds the era that balancers have recorded as settled.
func (d *deployment) awaitEra(era string) error {
	deadline := time.Now().Add(25 * time.Second)
	for time.Now().Before(deadline) {
		if string(d.store.Value("gentian/era")) == era {
			d.record.line("store: a balancer has recorded that era %s is settled", era)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("era %s is not settled after 25 s", era)
}

// roll stops a balancer as planned and starts it again.
func (d *deployment) roll(n int) {
	p := d.balancers[n]
	d.record.line("operator: %s gets SIGTERM", p.name)
	p.signal(syscall.SIGTERM)
	<-p.exited
	time.Sleep(300 * time.Millisecond)
	if err := p.run(); err != nil {
		d.record.line("%s does not start: %v", p.name, err)
	}
	d.record.line("%s was started again", p.name)
}
