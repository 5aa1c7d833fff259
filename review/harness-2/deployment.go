//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentianswitch/platform/standin"
)

// Ports of a machine, counted from the first port of the deployment.
const (
	portData = iota
	portPeer
	portReady
	portOutbound
	portAnnounce
	portApp
	portMetrics
)

// drainBound, flowTTL and converge are drain_ms, flow_ttl_s and converge_ms of the small deployments.
const (
	drainBound = 3 * time.Second
	flowTTL    = 60 * time.Second
	converge   = 3 * time.Second
)

// deployment is a small deployment: the project's programs as processes, and the stand-ins around them.
type deployment struct {
	record    *os.File
	recordMu  sync.Mutex
	started   time.Time
	store     *standin.Store
	dir       string
	firstPort uint16
	network   byte
	vms       int
	version   int

	balancers, agents []*machine
	// processMu guards the starts of processes. isStopped is set once no more may be started.
	processMu sync.Mutex
	isStopped bool
	// idleTimeout is idle_timeout_ms of the configuration.
	idleTimeout time.Duration

	routerMu sync.Mutex
	rotation []*machine

	sent, answered atomic.Int64
	breaksMu       sync.Mutex
	breaks         []string
	resets         []*flow
	onResetHook    func(*flow)
}

// machine is a VM with one of the project's programs.
type machine struct {
	d       *deployment
	ip      netip.Addr
	name    string
	args    []string
	env     []string
	command *exec.Cmd
	exited  chan struct{}
	misses  int
	runs    int
}

func (m *machine) addr(port int) netip.AddrPort { return netip.AddrPortFrom(m.ip, m.d.port(port)) }

func newDeployment(folder string) *deployment {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d := &deployment{
		record: record, started: time.Now(), dir: dir, store: standin.NewStore(), idleTimeout: 15 * time.Second,
		network: byte(64 + os.Getpid()%128),
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	d.must(err)
	d.firstPort = uint16(min(socket.LocalAddr().(*net.UDPAddr).Port, 60_000))
	_ = socket.Close()
	go d.probeReadiness()
	return d
}

func (d *deployment) port(port int) uint16 { return d.firstPort + uint16(port) }

func (d *deployment) newIP() netip.Addr {
	d.vms++
	return netip.AddrFrom4([4]byte{127, d.network, byte(d.vms / 250), byte(d.vms%250 + 1)})
}

// log writes a line to record.txt, with the seconds since the start.
func (d *deployment) log(format string, args ...any) {
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule is broken.
func (d *deployment) broken(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	d.log("RULE BROKEN: %s", line)
	d.breaksMu.Lock()
	defer d.breaksMu.Unlock()
	d.breaks = append(d.breaks, line)
}

// onReset records a reset of the system on a flow that is open at its client.
func (d *deployment) onReset(f *flow) {
	d.breaksMu.Lock()
	d.resets = append(d.resets, f)
	hook := d.onResetHook
	d.breaksMu.Unlock()
	if hook != nil {
		hook(f)
	}
}

// must ends the case with code 2 after an error: it can't run.
func (d *deployment) must(err error) {
	if err == nil {
		return
	}
	d.log("the case can't run: %v", err)
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	d.stop()
	os.Exit(2)
}

// stop ends all processes.
func (d *deployment) stop() {
	d.processMu.Lock()
	d.isStopped = true
	d.processMu.Unlock()
	for _, m := range slices.Concat(d.balancers, d.agents) {
		m.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", d.dir)
	}
}

// finish ends the case and exits: with 1 if a rule was broken, otherwise with 0.
func (d *deployment) finish() {
	d.stop()
	d.breaksMu.Lock()
	defer d.breaksMu.Unlock()
	d.log("requests sent %d, answered %d; rules broken %d times", d.sent.Load(), d.answered.Load(), len(d.breaks))
	_ = d.record.Close()
	fmt.Printf("requests sent %d, answered %d; rules broken %d times\n", d.sent.Load(), d.answered.Load(), len(d.breaks))
	if len(d.breaks) > 0 {
		fmt.Println("first:", d.breaks[0])
		os.Exit(1)
	}
	os.Exit(0)
}

// addBalancer starts a balancer with the command and the template of the deploy folder.
func (d *deployment) addBalancer() *machine {
	m := &machine{d: d, ip: d.newIP(), name: fmt.Sprintf("front-%d", len(d.balancers)+1)}
	seeds := []string{}
	for _, b := range d.balancers[:min(len(d.balancers), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", b.addr(portPeer)))
	}
	settings := fmt.Sprintf("zone: \"z1\"\ndata: %q\nready: %q\npeer: %q\nstore: %q\nseeds: [%s]\nmetrics: %q\n",
		m.addr(portData), m.addr(portReady), m.addr(portPeer), d.store.Address(), strings.Join(seeds, ","), m.addr(portMetrics))
	m.args = []string{"target/gentian-balancer", "opaque", "--settings", m.writeSettings(settings)}
	m.start()
	d.routerMu.Lock()
	defer d.routerMu.Unlock()
	d.balancers = append(d.balancers, m)
	return m
}

// newSide returns a side machine without processes.
func (d *deployment) newSide() *machine {
	return &machine{d: d, ip: d.newIP(), name: fmt.Sprintf("side-%d", len(d.agents)+1)}
}

// startAgent starts the agent of a side machine with the command, the template and the variables of the deploy folder.
func (d *deployment) startAgent(m *machine, service string) {
	settings := fmt.Sprintf("zone: \"z1\"\ndata: %q\noutbound: %q\nannounce: %q\ntarget: %q\nservice: %q\nheartbeat: \"1200ms\"\n"+
		"peer: %q\nstore: %q\nmetrics: %q\ngrace: \"6s\"\nflow-lifetime: \"60s\"\n",
		m.addr(portData), m.addr(portOutbound), m.addr(portAnnounce), m.addr(portApp), service, m.addr(portPeer), d.store.Address(),
		m.addr(portMetrics))
	m.args = []string{"target/gentian-agent", "opaque", "--settings", m.writeSettings(settings)}
	m.env = []string{"GENTIAN_WARM_UP_EXCESS=", "GENTIAN_WARM_UP_SLACK=", "GENTIAN_PROBE_TARGET=true"}
	m.start()
	d.agents = append(d.agents, m)
}

func (m *machine) writeSettings(text string) string {
	path := filepath.Join(m.d.dir, m.name+".yaml")
	m.d.must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (m *machine) start() {
	m.d.processMu.Lock()
	defer m.d.processMu.Unlock()
	if m.d.isStopped {
		return
	}
	m.runs++
	output, err := os.Create(filepath.Join(m.d.dir, fmt.Sprintf("%s-%d.out", m.name, m.runs)))
	if err != nil {
		m.d.log("%s does not start: %v", m.name, err)
		return
	}
	defer func() { _ = output.Close() }()
	command, exited := exec.CommandContext(context.Background(), m.args[0], m.args[1:]...), make(chan struct{})
	command.Env = append(append(os.Environ(), "GENTIANSWITCH_BOOT="+m.args[3]), m.env...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		m.d.log("%s does not start: %v", m.name, err)
		return
	}
	m.command, m.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	m.d.log("%s starts at %s: %s", m.name, m.ip, strings.Join(m.args[:2], " "))
}

func (m *machine) kill() {
	m.d.processMu.Lock()
	command, exited := m.command, m.exited
	m.d.processMu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

// restart stops the process as the platform does, with SIGTERM and after grace_s SIGKILL, and starts it again.
func (m *machine) restart() {
	m.d.log("%s gets SIGTERM", m.name)
	_ = m.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		m.kill()
	}
	time.Sleep(300 * time.Millisecond)
	m.start()
}

// logText returns what the current process has written.
func (m *machine) logText() string {
	raw, _ := os.ReadFile(filepath.Join(m.d.dir, fmt.Sprintf("%s-%d.out", m.name, m.runs)))
	return string(raw)
}

// routeItem is a route of the configuration.
type routeItem struct {
	Name     string `json:"name"`
	Hostname string `json:"hostname"`
	Prefix   string `json:"prefix"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Goal     int    `json:"goal_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

func route(name string, address netip.AddrPort, service string) routeItem {
	return routeItem{
		Name: name, Hostname: address.Addr().String(), Prefix: fmt.Sprintf("/%d/", address.Port()), Type: "unsafe", Timeout: 4000,
		Goal: 250, Priority: 1, Service: service, Attempts: 2,
	}
}

// configure writes the next version of the configuration, as the operator does. The store's answer is the acknowledgement.
func (d *deployment) configure(services []string, routes ...routeItem) time.Time {
	d.version += 3
	items := []map[string]any{}
	for _, s := range services {
		items = append(items, map[string]any{"name": s, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false})
	}
	raw, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes, "services": items,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
			"idle_timeout_ms": d.idleTimeout.Milliseconds()},
	})
	d.must(err)
	d.store.Put("op/config", raw)
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name+"->"+r.Service)
	}
	d.log("configuration %d is acknowledged: %s", d.version, strings.Join(names, " "))
	return time.Now()
}

// probeReadiness probes the balancers twice a second. After two misses one is out of rotation until it answers with 200.
func (d *deployment) probeReadiness() {
	client := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		d.routerMu.Lock()
		all := slices.Clone(d.balancers)
		d.routerMu.Unlock()
		var wg sync.WaitGroup
		ready := make([]bool, len(all))
		for i, b := range all {
			wg.Go(func() {
				answer, err := client.Get("http://" + b.addr(portReady).String() + "/v1/readyz")
				if err == nil {
					ready[i] = answer.StatusCode == http.StatusOK
					_ = answer.Body.Close()
				}
			})
		}
		wg.Wait()
		var rotation []*machine
		for i, b := range all {
			if ready[i] {
				b.misses = 0
			} else {
				b.misses++
			}
			isIn := ready[i] || b.misses < 2 && slices.Contains(d.rotation, b)
			if isIn {
				rotation = append(rotation, b)
			}
		}
		if 2*len(rotation) < len(all) {
			rotation = all
		}
		d.routerMu.Lock()
		if !slices.Equal(rotation, d.rotation) {
			names := []string{}
			for _, b := range rotation {
				names = append(names, b.name)
			}
			d.log("in rotation: %s", strings.Join(names, " "))
		}
		d.rotation = rotation
		d.routerMu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// routerFor returns the balancer that the routers forward a flow's packets to: a hash of the four addresses and ports, modulo the number
// of balancers in rotation.
func (d *deployment) routerFor(k flowKey) netip.AddrPort {
	d.routerMu.Lock()
	defer d.routerMu.Unlock()
	if len(d.rotation) == 0 {
		return netip.AddrPort{}
	}
	h := fnv.New32a()
	fmt.Fprint(h, k.client, k.route)
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x85ebca6b
	x ^= x >> 13
	return d.rotation[int(x%uint32(len(d.rotation)))].addr(portData)
}

// await waits until a condition holds, and ends the case with code 2 if it doesn't within 20 s.
func (d *deployment) await(what string, condition func() bool) {
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			d.must(fmt.Errorf("%s: not within 20 s", what))
		}
	}
}

// awaitTargets waits until every balancer has logged the targets of some agents.
func (d *deployment) awaitTargets(sides ...*machine) {
	for _, b := range d.balancers {
		for _, m := range sides {
			d.await(b.name+" knows "+m.name, func() bool { return strings.Contains(b.logText(), `"agent":"`+m.ip.String()+`"`) })
		}
	}
}

// isRotationFull reports whether all balancers are in rotation.
func (d *deployment) isRotationFull() bool {
	d.routerMu.Lock()
	defer d.routerMu.Unlock()
	return len(d.rotation) == len(d.balancers)
}
