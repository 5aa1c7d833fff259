package emulator

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/standin/certificates"
)

// Ports of the processes; each VM has its own IP.
const (
	portStore = 4390
	// portFaults is the port of the fabric's HTTP handler for faults and balancers.
	portFaults = 4391
	// portLock is the port on which an emulator listens to reserve its block of IPs.
	portLock    = 4399
	portData    = 4400
	portControl = 4401
	portMetrics = 4402
	portTarget  = 8080
)

// Last octets of the IPs within the block of loopback addresses of an emulator.
const (
	// hostPlatform is the octet of the store, the fabric and all routes.
	hostPlatform      = 1
	hostFirstBalancer = 10
	hostFirstTarget   = 50
	hostLock          = 254
)

const (
	// readyTimeout bounds how long await polls a condition, readyInterval is the time between two polls.
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
)

// Emulator runs one deployment on loopback.
type Emulator struct {
	Deployment Deployment
	// Dir holds the certificates, the tables and the logs.
	Dir       string
	Store     *Process
	Fabric    *Process
	Balancers []*Process
	Agents    []*Process
	Targets   []*Process
	// removedBalancers are balancers to which the fabric no longer sends.
	removedBalancers []*Process
	// bin is the directory of the programs.
	bin string
	// block holds the first three octets of all IPs, lock reserves the block.
	block string
	lock  net.Listener
	seed  uint64
	// gentianctlRuns counts the runs of gentianctl, to give each its own log file.
	gentianctlRuns atomic.Int64
}

// New prepares a deployment with the programs in the directory bin and writes its files to dir. It starts no process.
func New(deployment Deployment, bin, dir string, seed uint64) (*Emulator, error) {
	e := &Emulator{Deployment: deployment, Dir: dir, bin: bin, seed: seed}
	if err := e.reserveBlock(); err != nil {
		return nil, err
	}
	if err := certificates.Write(dir); err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.TablesFile(), []byte(deployment.Tables(e.ip(hostPlatform))), fileMode); err != nil {
		return nil, eris.Wrap(err, "write tables")
	}
	if err := e.writeOperatorFile(); err != nil {
		return nil, err
	}
	e.Store = e.newProcess("store", e.ip(hostPlatform), "gentian-standin", "store", "--listen", e.StoreAddress())
	e.Fabric = e.newProcess("fabric", e.ip(hostPlatform), "gentian-standin", e.fabricArgs()...)
	for i := range deployment.Balancers {
		e.Balancers = append(e.Balancers, e.newBalancer(i))
	}
	host := 0
	for _, p := range deployment.Pools {
		for range p.VMs {
			target, agent := e.newHost(host, p)
			e.Targets = append(e.Targets, target)
			e.Agents = append(e.Agents, agent)
			host++
		}
	}
	return e, nil
}

// reserveBlock reserves a block 127.x.y.0/24 that no other emulator on this machine uses, by listening on a port in it.
func (e *Emulator) reserveBlock() error {
	const blocks = 250
	first := os.Getpid() % blocks
	for i := range blocks * blocks {
		n := first*blocks + i
		block := fmt.Sprintf("127.%d.%d", 1+n/blocks%blocks, n%blocks)
		lock, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", block, hostLock, portLock))
		if err == nil {
			e.block, e.lock = block, lock
			return nil
		}
	}
	return eris.New("no block of loopback addresses is free")
}

func (e *Emulator) ip(host int) string {
	return fmt.Sprintf("%s.%d", e.block, host)
}

func (e *Emulator) zone(i int) string {
	return e.Deployment.Zones[i%len(e.Deployment.Zones)]
}

func (e *Emulator) newProcess(name, ip, program string, args ...string) *Process {
	return &Process{Name: name, IP: ip, program: filepath.Join(e.bin, program), args: args, dir: e.Dir}
}

func (e *Emulator) fabricArgs() []string {
	var balancers []string
	addresses := []string{e.Address(PortSpare)}
	for _, r := range e.Deployment.Routes {
		addresses = append(addresses, e.Address(r.Port))
	}
	for i := range e.Deployment.Balancers {
		balancers = append(balancers, e.ip(hostFirstBalancer+i)+"/32")
	}
	return []string{
		"fabric", "--addresses", strings.Join(addresses, ","), "--balancers", strings.Join(balancers, ","),
		"--faults", fmt.Sprintf("%s:%d", e.ip(hostPlatform), portFaults), "--seed", fmt.Sprint(e.seed),
	}
}

func (e *Emulator) commonArgs(ip, zone string) []string {
	return []string{
		"--zone", zone,
		"--data", fmt.Sprintf("%s:%d", ip, portData),
		"--control", fmt.Sprintf("%s:%d", ip, portControl),
		"--metrics", fmt.Sprintf("%s:%d", ip, portMetrics),
		"--keys", e.File(certificates.KeysFile),
		"--certificate", e.File(certificates.CertificateFile),
		"--certificate-key", e.File(certificates.KeyFile),
		"--authority", e.File(certificates.AuthorityFile),
	}
}

func (e *Emulator) newBalancer(i int) *Process {
	ip := e.ip(hostFirstBalancer + i)
	args := append(e.commonArgs(ip, e.zone(i)), "--store", e.StoreAddress(), "--bind-ip", ip,
		"--agent-networks", e.block+".0/24", "--peers", strings.Join(e.ControlAddresses(), ","))
	return e.newProcess(fmt.Sprintf("balancer-%d", i), ip, "gentian-balancer", args...)
}

// newHost returns the target and the agent of VM i.
func (e *Emulator) newHost(i int, pool Pool) (target, agent *Process) {
	ip := e.ip(hostFirstTarget + i)
	address := e.targetAddress(i)
	target = e.newProcess(fmt.Sprintf("target-%d", i), ip, "gentian-standin",
		"target", "--listen", address, "--service", pool.Name, "--slots", fmt.Sprint(pool.Slots))
	args := append(e.commonArgs(ip, e.zone(i)), "--target", address, "--service", fmt.Sprint(pool.Service),
		"--slots", fmt.Sprint(pool.Slots), "--balancers", strings.Join(e.ControlAddresses(), ","))
	args = append(args, e.Deployment.AgentArgs...)
	return target, e.newProcess(fmt.Sprintf("agent-%d", i), ip, "gentian-agent", args...)
}

// ControlAddresses returns the control addresses of the balancers.
func (e *Emulator) ControlAddresses() []string {
	var list []string
	for i := range e.Deployment.Balancers {
		list = append(list, fmt.Sprintf("%s:%d", e.ip(hostFirstBalancer+i), portControl))
	}
	return list
}

// StoreAddress returns the address of the store.
func (e *Emulator) StoreAddress() string {
	return fmt.Sprintf("%s:%d", e.ip(hostPlatform), portStore)
}

// Address returns the address to which callers send for the route on the given port.
func (e *Emulator) Address(port uint16) string {
	return fmt.Sprintf("%s:%d", e.ip(hostPlatform), port)
}

// File returns the path of a file of the emulator.
func (e *Emulator) File(name string) string {
	return filepath.Join(e.Dir, name)
}

// TablesFile returns the path of the file with the routes and pools.
func (e *Emulator) TablesFile() string {
	return e.File("tables.yaml")
}

// All returns every process.
func (e *Emulator) All() []*Process {
	all := []*Process{e.Store, e.Fabric}
	all = append(all, e.Balancers...)
	all = append(all, e.removedBalancers...)
	all = append(all, e.Targets...)
	return append(all, e.Agents...)
}

// Start starts every process, applies the tables and waits until callers can be served.
func (e *Emulator) Start() error {
	for _, p := range e.All() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := await("the store", func() bool { return isListening(e.StoreAddress()) }); err != nil {
		return err
	}
	if err := e.RequireGentianctl("apply", "--store", e.StoreAddress(), "--file", e.TablesFile()); err != nil {
		return err
	}
	return e.AwaitBalancers()
}

// TargetURL returns the base URL of the target on VM i.
func (e *Emulator) TargetURL(i int) string {
	return fmt.Sprintf("http://%s:%d", e.Targets[i].IP, portTarget)
}

// Stop kills every process that still runs and releases the block of IPs.
func (e *Emulator) Stop() {
	for _, p := range e.All() {
		if p.IsRunning() {
			_ = p.Kill()
		}
	}
	_ = e.lock.Close()
}
