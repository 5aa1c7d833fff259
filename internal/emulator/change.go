package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/standin/target"
)

// AddBalancer starts one more balancer and adds it to the balancers to which the fabric sends. Agents announce
// themselves only to the balancers of the deployment, so the new one learns of the targets from its peers.
func (e *Emulator) AddBalancer() (*Process, error) {
	b := e.newBalancer(len(e.Balancers))
	e.Balancers = append(e.Balancers, b)
	if err := b.Start(); err != nil {
		return nil, err
	}
	return b, e.setFabricBalancers(e.Balancers)
}

// unreachableStore is a store address at which nothing listens.
const unreachableStore = "127.0.0.1:1"

// DisconnectFromStore makes a balancer use a store that does not answer, from its next start on. The appended flag overrides
// the one before it.
func (e *Emulator) DisconnectFromStore(b *Process) {
	b.args = append(b.args, "--store", unreachableStore)
}

// RemoveBalancer makes the fabric send only to the other balancers. The process keeps running.
func (e *Emulator) RemoveBalancer(b *Process) error {
	e.Balancers = slices.DeleteFunc(e.Balancers, func(other *Process) bool { return other == b })
	e.removedBalancers = append(e.removedBalancers, b)
	return e.setFabricBalancers(e.Balancers)
}

// ReplaceVM kills the target and the agent of VM i and starts a target and an agent of the given pool at the same
// addresses.
func (e *Emulator) ReplaceVM(i int, pool Pool) error {
	previous := []*Process{e.Agents[i], e.Targets[i]}
	for _, p := range previous {
		if err := p.Kill(); err != nil {
			return err
		}
	}
	e.Targets[i], e.Agents[i] = e.newHost(i, pool)
	if err := e.Targets[i].Start(); err != nil {
		return err
	}
	if err := await(e.Targets[i].Name, func() bool { return isListening(e.targetAddress(i)) }); err != nil {
		return err
	}
	return e.Agents[i].Start()
}

// VMsOf returns the numbers of the VMs of a pool.
func (e *Emulator) VMsOf(pool string) []int {
	var list []int
	first := 0
	for _, p := range e.Deployment.Pools {
		for i := range p.VMs {
			if p.Name == pool {
				list = append(list, first+i)
			}
		}
		first += p.VMs
	}
	return list
}

// Runs returns which requests the target on VM i has run and how often.
func (e *Emulator) Runs(i int) ([]target.Run, error) {
	answer, err := http.Get(e.TargetURL(i) + target.PathRuns)
	if err != nil {
		return nil, eris.Wrapf(err, "runs of %s", e.Targets[i].Name)
	}
	defer func() { _ = answer.Body.Close() }()
	var list []target.Run
	err = json.NewDecoder(answer.Body).Decode(&list)
	return list, eris.Wrapf(err, "runs of %s", e.Targets[i].Name)
}

func (e *Emulator) targetAddress(i int) string {
	return fmt.Sprintf("%s:%d", e.ip(hostFirstTarget+i), portTarget)
}

// Apply writes the tables of a deployment to the tables file and puts them in force with gentianctl.
func (e *Emulator) Apply(deployment Deployment) error {
	text := deployment.Tables(e.ip(hostPlatform))
	if err := os.WriteFile(e.TablesFile(), []byte(text), fileMode); err != nil {
		return eris.Wrap(err, "write tables")
	}
	return e.RequireGentianctl("apply", "--store", e.StoreAddress(), "--file", e.TablesFile())
}
