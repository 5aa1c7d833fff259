//go:build review

// A route has moved to another service. Then the balancers are stopped and started in turn. Flows that were opened before the
// move must stay at their targets.
package main

import (
	"fmt"
	"net/netip"
	"time"

	"gentianswitch/platform/standin"
	"gentianswitch/review/harness"
)

const (
	oldService, newService = "svc-old", "svc-new"
	flowCount              = 6
)

func main() {
	c := harness.New()
	balancers := []*harness.Machine{c.AddBalancer("zone-a"), c.AddBalancer("zone-b")}
	oldAgents := []*harness.Machine{c.AddAgent("zone-a", oldService), c.AddAgent("zone-b", oldService)}
	newAgents := []*harness.Machine{c.AddAgent("zone-a", newService), c.AddAgent("zone-b", newService)}
	for _, agent := range append(append([]*harness.Machine{}, oldAgents...), newAgents...) {
		c.Await(agent.Name+" listens", 10*time.Second, func() bool { return c.IsListening(agent) })
	}
	born := time.Now().UnixMilli()
	var targets []*harness.Target
	for n, agent := range oldAgents {
		targets = append(targets, c.StartTarget(agent, fmt.Sprintf("old-%d", n+1), oldService, born))
	}
	for n, agent := range newAgents {
		c.StartTarget(agent, fmt.Sprintf("new-%d", n+1), newService, born)
	}
	route := harness.Route{Name: "r-1", Address: netip.MustParseAddrPort("127.250.0.1:8443"), Service: oldService, Type: "safe"}
	version := c.Configure([]harness.Route{route})
	c.Log("version %d: route r-1 goes to %s", version, oldService)
	for _, b := range balancers {
		c.AwaitReady(b)
	}
	time.Sleep(2 * time.Second)

	// Each flow is opened and used through one balancer, and later through either.
	current := balancers[0]
	router := func() *harness.Machine { return current }
	type openFlow struct {
		send func(string) (string, error)
		end  netip.AddrPort
		name string
	}
	var flows []openFlow
	for n := range flowCount {
		caller := c.NewCaller(route.Address, router)
		if err := caller.Open(); err != nil {
			c.NoRun("flow %d: %v", n, err)
		}
		answer, err := caller.SendRequest(fmt.Sprintf("first-%d", n))
		if err != nil {
			c.NoRun("flow %d: %v", n, err)
		}
		c.Log("flow %d of %s is open at target %s", n, caller.Endpoint(), answer)
		flows = append(flows, openFlow{caller.SendRequest, caller.Endpoint(), fmt.Sprint(n)})
	}

	moved := route
	moved.Service = newService
	version = c.Configure([]harness.Route{moved})
	c.Log("version %d: route r-1 goes to %s; acknowledged", version, newService)
	time.Sleep(harness.Converge)
	for _, b := range balancers {
		current = b
		caller := c.NewCaller(route.Address, router)
		if err := caller.Open(); err != nil {
			c.NoRun("new flow through %s: %v", b.Name, err)
		}
		answer, err := caller.SendRequest("new")
		c.Log("a new flow through %s is answered by %s, %v", b.Name, answer, err)
		caller.Close()
	}
	isReset := make([]bool, len(flows))
	use := func(stage string) {
		for _, b := range balancers {
			current = b
			for n, f := range flows {
				if isReset[n] {
					continue
				}
				text := fmt.Sprintf("%s-%s-%s", stage, f.name, b.Name)
				answer, err := f.send(text)
				held := ""
				for _, t := range targets {
					if t.Holds(f.end) {
						held = t.ID
					}
				}
				c.Log("flow %s through %s: answer of %q, error %v; open at target %q", f.name, b.Name, answer, err, held)
				isReset[n] = err != nil
				if err == standin.ErrReset && held != "" {
					c.Broken("FLOW", "the client of flow %s got a reset through %s that its target %s did not send", f.name, b.Name, held)
				}
			}
		}
	}
	use("moved")
	if harness.Trouble() {
		for _, b := range balancers {
			c.Log("%s is stopped with SIGTERM and started again", b.Name)
			b.Terminate()
			c.Start(b)
			c.AwaitReady(b)
			time.Sleep(1300 * time.Millisecond)
		}
	}
	time.Sleep(harness.InTouch)
	use("after")
	c.Finish()
}
