// Package emulator runs a whole deployment on loopback for tests and the demo: stand-ins for the platform and the real
// programs, each as a separate process.
package emulator

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/class"
)

// Pool describes the targets of one service.
type Pool struct {
	Name    string
	Service uint16
	// VMs is the number of VMs, each with one target and one agent. Slots is the number of slots of each target.
	VMs   int
	Slots int
}

// Route describes one route. All routes have the same IP and differ by port.
type Route struct {
	Name string
	Port uint16
	// Pool is the name of the pool that serves the route.
	Pool  string
	Class class.Class
}

// Deployment describes the deployment of one operator.
type Deployment struct {
	Name      string
	Zones     []string
	Balancers int
	Pools     []Pool
	Routes    []Route
	// AgentArgs are additional arguments of every agent.
	AgentArgs []string
}

// Ports of the routes of both deployments.
const (
	PortFeed  = 4431
	PortShort = 4432
	PortLong  = 4433
	// PortSpare is a port that the fabric forwards and that no route uses initially.
	PortSpare = 4434
)

// Sierra returns the deployment of the Agencia.
func Sierra() Deployment {
	return Deployment{
		Name:      "sierra",
		Zones:     []string{"quito", "ambato", "cuenca"},
		Balancers: 3,
		Pools: []Pool{
			{Name: "requests", Service: 1, VMs: 7, Slots: 5},
			{Name: "voice", Service: 2, VMs: 3, Slots: 5},
		},
		Routes: []Route{
			{Name: "station-feeds", Port: PortFeed, Pool: "requests", Class: class.Feed},
			{Name: "requests", Port: PortShort, Pool: "requests", Class: class.Short},
			{Name: "voice-messages", Port: PortLong, Pool: "voice", Class: class.Long},
		},
	}
}

// Taiwan returns the deployment of Jadeladle.
func Taiwan() Deployment {
	return Deployment{
		Name:      "taiwan",
		Zones:     []string{"taipei", "taoyuan", "keelung"},
		Balancers: 3,
		Pools: []Pool{
			{Name: "trolley", Service: 1, VMs: 7, Slots: 3},
			{Name: "photo", Service: 2, VMs: 3, Slots: 3},
		},
		Routes: []Route{
			{Name: "kitchen-screens", Port: PortFeed, Pool: "trolley", Class: class.Feed},
			{Name: "restock", Port: PortShort, Pool: "trolley", Class: class.Short},
			{Name: "shift-photos", Port: PortLong, Pool: "photo", Class: class.Long},
		},
	}
}

// DeploymentByName returns the deployment sierra or taiwan.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Sierra(), Taiwan()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, eris.Errorf("deployment %q, expected sierra or taiwan", name)
}

// Tables returns the routes and pools of the deployment as YAML, with the routes on the given IP.
func (d Deployment) Tables(ip string) string {
	var text strings.Builder
	text.WriteString("routes:\n")
	for _, r := range d.Routes {
		fmt.Fprintf(&text, "  - name: %s\n    address: %s:%d\n    pool: %s\n    class: %s\n",
			r.Name, ip, r.Port, r.Pool, r.Class)
	}
	text.WriteString("pools:\n")
	for _, p := range d.Pools {
		fmt.Fprintf(&text, "  - name: %s\n    service: %d\n", p.Name, p.Service)
	}
	return text.String()
}

// PoolOf returns the pool that serves the route on the given port, or an empty one when there is none.
func (d Deployment) PoolOf(port uint16) Pool {
	for _, r := range d.Routes {
		if r.Port != port {
			continue
		}
		for _, p := range d.Pools {
			if p.Name == r.Pool {
				return p
			}
		}
	}
	return Pool{}
}
