package integration

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/opaque/hop"
	"gentianswitch/internal/opaque/registry"
	"gentianswitch/platform/standin"
)

// Ports of an opaque deployment, counted from its first port. Each VM has its own loopback address. An agent receives the
// packets of its target at opaquePortOutbound and the target's heartbeats at opaquePortAnnounce; the target receives packets at
// opaquePortTarget.
const (
	opaquePortData = iota
	opaquePortPeer
	opaquePortReady
	opaquePortOutbound
	opaquePortAnnounce
	opaquePortTarget
)

// opaqueDeployment runs balancers and agents of opaque flows beside stand-ins of the platform.
type opaqueDeployment struct {
	store       *standin.Store
	firstPort   uint16
	vmCount     int
	callerCount int
	version     uint64
	// document is the last configuration that was written.
	document []byte
	// padding is the size in bytes up to which a configuration is filled.
	padding   int
	balancers []*opaqueProcess
	agents    []*opaqueProcess
	targets   []*standin.Target
	// storeAddress returns the address at which the next process that is added reaches the store.
	storeAddress func() string
}

// opaqueProcess is a balancer or an agent.
type opaqueProcess struct {
	ip   netip.Addr
	args []string
	// log is the log file of the current run, and previousLogs are those of earlier runs.
	log          string
	previousLogs []string
	command      *exec.Cmd
	exited       chan struct{}
}

// Addresses of routes. The route at opaqueLessUrgent is less urgent than the other.
var (
	opaqueAddress    = netip.MustParseAddrPort("198.18.0.1:443")
	opaqueLessUrgent = netip.MustParseAddrPort("198.18.0.1:8443")
)

// newOpaqueDeployment starts a deployment whose route leads to the service "lines".
func newOpaqueDeployment(balancers, targets int) *opaqueDeployment {
	d := emptyOpaqueDeployment()
	d.configure(map[netip.AddrPort]string{opaqueAddress: "lines"})
	for range balancers {
		d.addBalancer()
	}
	for range targets {
		d.addTarget()
	}
	d.awaitReady()
	return d
}

// emptyOpaqueDeployment starts a store, without balancers and targets.
func emptyOpaqueDeployment() *opaqueDeployment {
	d := &opaqueDeployment{store: standin.NewStore(), firstPort: freePortBlock()}
	d.storeAddress = d.store.Address
	DeferCleanup(d.stop)
	return d
}

// freePortBlock returns the first port of the block of a deployment. It is a port that was free when it was probed, or 60000 if
// that port is higher, so that the ports after it exist.
func freePortBlock() uint16 {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = socket.Close() }()
	port := socket.LocalAddr().(*net.UDPAddr).Port
	return uint16(min(port, 60_000))
}

func (d *opaqueDeployment) newIP() netip.Addr {
	d.vmCount++
	return netip.AddrFrom4([4]byte{127, 10, byte(GinkgoParallelProcess()), byte(d.vmCount)})
}

// vmAddress returns an address on a VM. port is one of the constants above.
func (d *opaqueDeployment) vmAddress(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, d.firstPort+uint16(port))
}

// configure writes the next version of the routes to the store, as the operator does.
func (d *opaqueDeployment) configure(routes map[netip.AddrPort]string) {
	d.version += 3
	list := []map[string]any{}
	for address, service := range routes {
		priority := 1
		if address == opaqueLessUrgent {
			priority = 2
		}
		list = append(list, map[string]any{
			"name": "r-" + service, "hostname": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()),
			"type": "unsafe", "timeout_ms": 3000, "goal_ms": 250, "priority": priority, "service": service,
		})
	}
	document := map[string]any{"version": d.version, "routes": list}
	raw, err := json.Marshal(document)
	Expect(err).NotTo(HaveOccurred())
	if d.padding > len(raw) {
		document["padding"] = strings.Repeat("p", d.padding-len(raw)-len(`,"padding":""`))
		raw, err = json.Marshal(document)
		Expect(err).NotTo(HaveOccurred())
	}
	d.document = raw
	d.store.Put(configurationKey, raw)
}

// expectInForce waits until the last configuration is in force on each of the balancers.
func (d *opaqueDeployment) expectInForce(balancers ...*opaqueProcess) {
	GinkgoHelper()
	for _, p := range balancers {
		Eventually(p.logText).WithTimeout(opaqueWaitLimit).
			Should(ContainSubstring(fmt.Sprintf(`"configuration":%d,"event":410`, d.version)), p.ip.String())
	}
}

// configurationKey is the key of the store that holds the configuration.
const configurationKey = "op/config"

// restoreStore restores the store from a copy after an outage. Operators write the last configuration again.
func (d *opaqueDeployment) restoreStore(backup standin.Copy, outage time.Duration) {
	d.store.SetFault("", standin.Reset)
	time.Sleep(outage)
	d.store.Restore(backup)
	d.store.SetFault("", standin.NoFault)
	d.store.Put(configurationKey, d.document)
}

// storedEntry returns the entry of an agent's target in the store, or the zero Entry. One that cannot be decoded fails the spec.
func (d *opaqueDeployment) storedEntry(agent *opaqueProcess) registry.Entry {
	entry, err := d.decodeStoredEntry(agent)
	Expect(err).NotTo(HaveOccurred())
	return entry
}

// decodeStoredEntry is storedEntry for specs in which another writer replaces entries.
func (d *opaqueDeployment) decodeStoredEntry(agent *opaqueProcess) (registry.Entry, error) {
	raw := d.store.Value(registry.Key(hop.IP(agent.ip.As4())))
	if raw == nil {
		return registry.Entry{}, nil
	}
	return registry.Decode(raw)
}

func (d *opaqueDeployment) addBalancer() *opaqueProcess {
	ip := d.newIP()
	p := &opaqueProcess{ip: ip, args: []string{
		filepath.Join(binDir, "gentian-balancer"), "opaque", "--zone", "quito", "--store", d.storeAddress(),
		"--data", d.vmAddress(ip, opaquePortData).String(), "--peer", d.vmAddress(ip, opaquePortPeer).String(),
		"--ready", d.vmAddress(ip, opaquePortReady).String(), "--linger", "300ms",
	}}
	if len(d.balancers) > 0 {
		p.args = append(p.args, "--seeds", d.vmAddress(d.balancers[0].ip, opaquePortPeer).String())
	}
	p.start()
	d.balancers = append(d.balancers, p)
	return p
}

// addTarget starts a VM with an agent and a target of the service "lines".
func (d *opaqueDeployment) addTarget() {
	ip := d.newIP()
	p := d.startAgent(ip, "lines")
	d.agents = append(d.agents, p)
	d.startTarget(ip, "lines")
}

func (d *opaqueDeployment) startAgent(ip netip.Addr, service string) *opaqueProcess {
	p := &opaqueProcess{ip: ip, args: []string{
		filepath.Join(binDir, "gentian-agent"), "opaque", "--zone", "quito", "--store", d.storeAddress(),
		"--service", service, "--data", d.vmAddress(ip, opaquePortData).String(),
		"--outbound", d.vmAddress(ip, opaquePortOutbound).String(),
		"--announce", d.vmAddress(ip, opaquePortAnnounce).String(), "--target", d.vmAddress(ip, opaquePortTarget).String(),
		"--peer", d.vmAddress(ip, opaquePortPeer).String(),
	}}
	p.start()
	return p
}

func (d *opaqueDeployment) startTarget(ip netip.Addr, service string) *standin.Target {
	return d.startTargetInZone("quito", ip, service)
}

// addTargetInZone starts a VM with an agent and a target of the service "lines" in an availability zone.
func (d *opaqueDeployment) addTargetInZone(zone string) (*opaqueProcess, *standin.Target) {
	ip := d.newIP()
	p := d.startAgent(ip, "lines")
	d.agents = append(d.agents, p)
	return p, d.startTargetInZone(zone, ip, "lines")
}

func (d *opaqueDeployment) startTargetInZone(zone string, ip netip.Addr, service string) *standin.Target {
	name := fmt.Sprintf("i-%s-%d", service, len(d.targets))
	t, err := standin.NewTargetInZone(zone, name, service,
		d.vmAddress(ip, opaquePortTarget), d.vmAddress(ip, opaquePortOutbound), d.vmAddress(ip, opaquePortAnnounce))
	Expect(err).NotTo(HaveOccurred())
	d.targets = append(d.targets, t)
	return t
}

// processes returns the balancers and the agents.
func (d *opaqueDeployment) processes() []*opaqueProcess { return slices.Concat(d.balancers, d.agents) }

func (d *opaqueDeployment) isReady(p *opaqueProcess) bool { return d.probeReady(http.DefaultClient, p) }

// probeReady reports whether a balancer answers the readiness probe of an HTTP client with 200.
func (d *opaqueDeployment) probeReady(client *http.Client, p *opaqueProcess) bool {
	answer, err := client.Get("http://" + d.vmAddress(p.ip, opaquePortReady).String() + "/v1/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until every balancer is ready and has logged the target of every agent.
func (d *opaqueDeployment) awaitReady() {
	for _, p := range d.balancers {
		Eventually(func() bool { return d.isReady(p) }).WithTimeout(opaqueWaitLimit).Should(BeTrue())
		for _, a := range d.agents {
			Eventually(p.logText).WithTimeout(opaqueWaitLimit).Should(ContainSubstring(`"agent":"` + a.ip.String() + `"`))
		}
	}
}

// opaqueWaitLimit bounds the wait for an expected event. The programs do not guarantee this bound.
const opaqueWaitLimit = 20 * time.Second

// newCaller returns a caller whose packets all go to the balancer that the router returns.
func (d *opaqueDeployment) newCaller(router func() *opaqueProcess) *standin.Caller {
	return d.newCallerTo(opaqueAddress, router)
}

// newCallerTo returns a caller of the route at an address.
func (d *opaqueDeployment) newCallerTo(address netip.AddrPort, router func() *opaqueProcess) *standin.Caller {
	d.callerCount++
	ip := netip.AddrFrom4([4]byte{127, 20, byte(GinkgoParallelProcess()), byte(d.callerCount)})
	c, err := standin.NewCaller(ip, d.firstPort+opaquePortData, address, func() netip.AddrPort {
		return d.vmAddress(router().ip, opaquePortData)
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// alwaysVia returns a router that always returns the same balancer.
func alwaysVia(p *opaqueProcess) func() *opaqueProcess { return func() *opaqueProcess { return p } }

func (d *opaqueDeployment) stop() {
	for _, t := range d.targets {
		t.Close()
	}
	for _, p := range d.processes() {
		p.kill()
	}
	d.store.Close()
}

// opaqueLogs names the directory for the logs of opaque processes. Without it the logs are deleted at the end of each spec.
var opaqueLogs = flag.String("opaque-logs", "", "directory that keeps the logs of opaque processes")

func logDirectory() string {
	if *opaqueLogs == "" {
		return GinkgoT().TempDir()
	}
	Expect(os.MkdirAll(*opaqueLogs, 0o750)).To(Succeed())
	return *opaqueLogs
}

func (p *opaqueProcess) start() {
	file, err := os.CreateTemp(logDirectory(), p.ip.String()+"-*.log")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	if p.log != "" {
		p.previousLogs = append(p.previousLogs, p.log)
	}
	p.log = file.Name()
	p.command = exec.CommandContext(context.Background(), p.args[0], p.args[1:]...)
	p.command.Stdout, p.command.Stderr = file, file
	Expect(p.command.Start()).To(Succeed())
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		// The exit status is ignored: specs check only whether a process has exited.
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
}

func (p *opaqueProcess) signal(s syscall.Signal) {
	Expect(p.command.Process.Signal(s)).To(Succeed())
}

// kill kills the process and waits for its end. Killing a process that has exited is allowed.
func (p *opaqueProcess) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

func (p *opaqueProcess) restart() {
	p.kill()
	p.start()
}

// logText returns the log of the current run.
func (p *opaqueProcess) logText() string {
	raw, err := os.ReadFile(p.log)
	Expect(err).NotTo(HaveOccurred())
	return string(raw)
}

// runLogs returns the logs of all runs of the process, oldest first.
func (p *opaqueProcess) runLogs() []string {
	var all []string
	for _, name := range slices.Concat(p.previousLogs, []string{p.log}) {
		raw, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, string(raw))
	}
	return all
}
