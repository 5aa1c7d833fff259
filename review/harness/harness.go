//go:build review

// Package harness starts a small deployment for the review's scripts: the project's programs as separate processes, with the
// commands of the deploy file, beside the project's stand-ins of the platform. All addresses are loopback addresses.
package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentianswitch/platform/standin"
)

// Bounds of the small sites (SYSTEM.md).
const (
	Converge  = 3 * time.Second
	DrainTime = 3 * time.Second
	InTouch   = 4 * time.Second
	Heartbeat = 1200 * time.Millisecond
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// Ports of each machine, counted from the first port of the deployment.
const (
	portData = iota
	portPeer
	portReady
	portOutbound
	portControl
	PortApp
	portMetrics
)

// Trouble reports whether the script shall cause the disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Route is a route of the operator's configuration.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Service  string
	Type     string
	Priority int
}

// Machine is a machine with one process of the system.
type Machine struct {
	Name, Zone string
	IP         netip.Addr

	program, template string
	fields            map[string]string
	command           *exec.Cmd
	exited            chan struct{}
}

// Cluster is a deployment.
type Cluster struct {
	Store *standin.Store
	Seeds []netip.AddrPort

	// storeAddress is where the machines reach the store.
	storeAddress string

	dir       string
	octet     byte
	firstPort uint16
	count     int
	version   uint64
	machines  []*Machine
	record    io.Writer
	started   time.Time
	mu        sync.Mutex
	broken    bool
}

// New starts an empty deployment: only the store. The record goes to record.txt in the folder RECORD_DIR.
func New() *Cluster {
	record, err := os.Create(filepath.Join(os.Getenv("RECORD_DIR"), "record.txt"))
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	c := &Cluster{Store: standin.NewStore(), dir: dir, octet: byte(10 + os.Getpid()%200), record: record, started: time.Now()}
	c.storeAddress, c.firstPort = c.Store.Address(), c.freePorts()
	c.Log("disruption: %v, ports from %d", Trouble(), c.firstPort)
	return c
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNoRun)
	}
}

// freePorts returns the first of eight ports at which nothing listens on loopback.
func (c *Cluster) freePorts() uint16 {
	for port := uint16(21000 + os.Getpid()%1400*8); ; port += 8 {
		isFree := true
		for n := range uint16(8) {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+n))
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
		}
		if isFree {
			return port
		}
	}
}

// Log writes a line with the time since the start to the record and to standard output.
func (c *Cluster) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(c.record, line)
	fmt.Print(line)
}

// Broken records that a rule was broken.
func (c *Cluster) Broken(rule, format string, args ...any) {
	c.Log(rule+" BROKEN: "+format, args...)
	c.mu.Lock()
	c.broken = true
	c.mu.Unlock()
}

// NoRun ends the script because the case could not be set up.
func (c *Cluster) NoRun(format string, args ...any) {
	c.Log("the case could not run: "+format, args...)
	c.stop()
	os.Exit(exitNoRun)
}

// Finish ends all processes and exits with the result of the script.
func (c *Cluster) Finish() {
	c.stop()
	if c.broken {
		c.Log("result: the rule was broken")
		os.Exit(exitBroken)
	}
	c.Log("result: the rule held")
	os.Exit(exitHeld)
}

func (c *Cluster) stop() {
	for _, m := range c.machines {
		m.kill()
	}
	c.Store.Close()
	_ = os.RemoveAll(c.dir)
}

// NewIP returns the address of another machine.
func (c *Cluster) NewIP() netip.Addr {
	c.count++
	return netip.AddrFrom4([4]byte{127, c.octet, byte(c.count / 200), byte(c.count%200 + 1)})
}

func (c *Cluster) at(ip netip.Addr, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(ip, c.firstPort+port)
}

// Data returns the address of a machine at which it receives packets.
func (c *Cluster) Data(m *Machine) netip.AddrPort { return c.at(m.IP, portData) }

// App, Outbound and Control are the addresses of a target and of its agent.
func (c *Cluster) App(m *Machine) netip.AddrPort      { return c.at(m.IP, PortApp) }
func (c *Cluster) Outbound(m *Machine) netip.AddrPort { return c.at(m.IP, portOutbound) }
func (c *Cluster) Control(m *Machine) netip.AddrPort  { return c.at(m.IP, portControl) }

// Configure writes the next version of the configuration as the operator does. It returns the version. The answer of the store
// is the acknowledgement.
func (c *Cluster) Configure(routes []Route) uint64 {
	c.version += 3
	c.Store.Put("op/config", Document(c.version, routes))
	return c.version
}

// Document returns the operator's document.
func Document(version uint64, routes []Route) []byte {
	list, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "hostname": r.Address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.Address.Port()), "type": r.Type,
			"timeout_ms": 4000, "goal_ms": 250, "priority": r.Priority, "service": r.Service, "max_attempts": 2,
		})
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{
				"name": r.Service, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1", "tls": false,
			})
		}
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	must(err)
	return raw
}

// AddBalancer starts a balancer on a new front machine.
func (c *Cluster) AddBalancer(zone string) *Machine {
	m := &Machine{Name: fmt.Sprintf("front-%s-%d", zone, c.count+1), Zone: zone, IP: c.NewIP(), program: "gentian-balancer", template: "balancer.yaml"}
	m.fields = map[string]string{
		"zone": zone, "listen.datagram_addr": c.at(m.IP, portData).String(), "listen.ready": c.at(m.IP, portReady).String(),
		"ip": m.IP.String(), "port_range.0": fmt.Sprint(c.firstPort + portPeer), "platform.address": c.storeAddress,
	}
	if len(c.Seeds) < 3 {
		c.Seeds = append(c.Seeds, c.at(m.IP, portControl))
	}
	c.machines = append(c.machines, m)
	c.Start(m)
	return m
}

// AddAgent starts an agent on a new side machine.
func (c *Cluster) AddAgent(zone, service string) *Machine {
	m := &Machine{Name: fmt.Sprintf("side-%s-%d", zone, c.count+1), Zone: zone, IP: c.NewIP(), program: "gentian-agent", template: "agent.yaml"}
	m.fields = map[string]string{
		"zone": zone, "listen.datagram_addr": c.at(m.IP, portData).String(), "listen.outbound": c.at(m.IP, portOutbound).String(),
		"listen.control": c.at(m.IP, portControl).String(), "app": c.at(m.IP, PortApp).String(), "service": service,
		"heartbeat_ms": fmt.Sprint(Heartbeat.Milliseconds()), "ip": m.IP.String(), "port_range.0": fmt.Sprint(c.firstPort + portPeer),
		"platform.address": c.storeAddress, "bounds.grace_s": "6", "bounds.flow_ttl_s": "60",
	}
	c.machines = append(c.machines, m)
	c.Start(m)
	return m
}

// render fills in a template of deploy/ like the platform.
func (c *Cluster) render(m *Machine) string {
	raw, err := os.ReadFile(filepath.Join("deploy", m.template))
	must(err)
	text := string(raw)
	var seeds []string
	for _, s := range c.Seeds {
		seeds = append(seeds, `"`+s.String()+`"`)
	}
	text = strings.ReplaceAll(text, `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","))
	for name, value := range m.fields {
		text = strings.ReplaceAll(text, "{{#"+name+"}}", "")
		text = strings.ReplaceAll(text, "{{/"+name+"}}", "")
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	// All machines of the script share one address space of ports, and the metrics port of the template may be taken.
	text = strings.ReplaceAll(text, m.IP.String()+":9464", c.at(m.IP, portMetrics).String())
	if strings.Contains(text, "{{") {
		must(fmt.Errorf("a placeholder is left in %s: %s", m.template, text))
	}
	return text
}

// Start starts the process of a machine, which is not running.
func (c *Cluster) Start(m *Machine) {
	settings := filepath.Join(c.dir, m.Name+".yaml")
	must(os.WriteFile(settings, []byte(c.render(m)), 0o600))
	output, err := os.OpenFile(filepath.Join(c.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = output.Close() }()
	m.command = exec.Command(filepath.Join("target", m.program), "opaque", "--settings", settings)
	m.command.Stdout, m.command.Stderr = output, output
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(m.command.Start())
	m.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(m.command, m.exited)
}

// Signal sends a signal to the process of a machine.
func (m *Machine) Signal(s syscall.Signal) { must(m.command.Process.Signal(s)) }

// Terminate sends SIGTERM and waits for the end of the process.
func (m *Machine) Terminate() {
	m.Signal(syscall.SIGTERM)
	<-m.exited
}

func (m *Machine) kill() {
	_ = m.command.Process.Kill()
	<-m.exited
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() { m.kill() }

// HasExited reports whether the process has ended.
func (m *Machine) HasExited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// Output returns what the process has written so far.
func (c *Cluster) Output(m *Machine) string {
	raw, _ := os.ReadFile(filepath.Join(c.dir, m.Name+".log"))
	return string(raw)
}

// Await waits until a condition holds, or ends the script if it does not within the limit.
func (c *Cluster) Await(what string, limit time.Duration, condition func() bool) {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.NoRun("no sign of: %s", what)
		}
	}
	c.Log("%s", what)
}

// IsReady probes a balancer as the routers do.
func (c *Cluster) IsReady(m *Machine) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + c.at(m.IP, portReady).String() + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// IsListening reports whether an agent accepts connections for heartbeats.
func (c *Cluster) IsListening(m *Machine) bool {
	conn, err := net.DialTimeout("tcp4", c.Control(m).String(), 100*time.Millisecond)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// AwaitReady waits until a balancer is ready.
func (c *Cluster) AwaitReady(m *Machine) {
	c.Await(m.Name+" is ready", 10*time.Second, func() bool { return c.IsReady(m) })
}

// NewCaller returns a client whose packets go to the front machine that the router returns.
func (c *Cluster) NewCaller(route netip.AddrPort, router func() *Machine) *standin.Caller {
	caller, err := standin.NewCaller(c.NewIP(), c.firstPort+portData, route, func() netip.AddrPort { return c.Data(router()) })
	must(err)
	return caller
}

// Via returns a router that always chooses one machine.
func Via(m *Machine) func() *Machine { return func() *Machine { return m } }
