//go:build review

// A host crashes and is back 3 to 4.5 s later. Meanwhile the store loses the answer of a write and does the write later. Then the
// flows that the host has opened since are used.
package main

import (
	"fmt"
	"net/netip"
	"time"

	"gentianswitch/platform/standin"
	"gentianswitch/review/harness"
)

const (
	service = "svc"
	// lostFor bounds the loss of answers (platform_lost: for_s 4.5), and lateBy the delay of a write (1 to 6 s).
	lostFor = 4500 * time.Millisecond
	lateBy  = 6 * time.Second
	// downFor bounds the time for which the host is down (srv_crash: for_s 4.5).
	downFor = 4500 * time.Millisecond
	// maxFlows bounds the flows that are opened until four are at the host.
	maxFlows = 60
)

func main() {
	c := harness.New()
	late := c.NewLateStore()
	balancers := []*harness.Machine{c.AddBalancer("zone-a"), c.AddBalancer("zone-b")}
	agents := []*harness.Machine{c.AddAgent("zone-a", service), c.AddAgent("zone-b", service)}
	var targets []*harness.Target
	for n, agent := range agents {
		c.Await(agent.Name+" listens", 10*time.Second, func() bool { return c.IsListening(agent) })
		targets = append(targets, c.StartTarget(agent, fmt.Sprintf("i-host-%d", n+1), service, time.Now().UnixMilli()))
	}
	route := harness.Route{Name: "r-1", Address: netip.MustParseAddrPort("127.250.0.1:8443"), Service: service, Type: "safe"}
	c.Configure([]harness.Route{route})
	for _, b := range balancers {
		c.AwaitReady(b)
	}
	time.Sleep(5 * time.Second)

	c.Log("target i-host-1 crashes")
	crashed := time.Now()
	targets[0].Crash()
	time.Sleep(800 * time.Millisecond)
	if harness.Trouble() {
		c.Log("the store begins to lose the answers of writes")
		late.LoseWrites(lateBy)
		for late.Lost() == 0 && time.Since(crashed) < downFor {
			time.Sleep(10 * time.Millisecond)
		}
		if late.Lost() == 0 {
			c.NoRun("the agent has written nothing")
		}
	} else {
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	targets[0] = c.StartTarget(agents[0], "i-host-1", service, time.Now().UnixMilli())
	c.Log("target i-host-1 is back after %.1f s; writes lost: %d", time.Since(crashed).Seconds(), late.Lost())
	back := time.Now()
	time.Sleep(200 * time.Millisecond)
	late.Heal()
	healed := time.Now()
	c.Log("the store answers again")
	time.Sleep(2500 * time.Millisecond)

	var callers []*standin.Caller
	atCrashed := 0
	for n := 0; atCrashed < 4; n++ {
		if n == maxFlows {
			c.NoRun("%d of %d flows are at target i-host-1", atCrashed, n)
		}
		caller := c.NewCaller(route.Address, harness.Via(balancers[n%2]))
		if err := caller.Open(); err != nil {
			c.NoRun("flow %d: %v", n, err)
		}
		answer, err := caller.SendRequest(fmt.Sprintf("first-%d", n))
		if err != nil {
			c.NoRun("flow %d: %v", n, err)
		}
		c.Log("flow %d of %s is open at target %s", n, caller.Endpoint(), answer)
		if answer == targets[0].ID {
			atCrashed++
		}
		callers = append(callers, caller)
	}
	isReset := make([]bool, len(callers))
	for round := 0; time.Since(healed) < 14*time.Second; round++ {
		time.Sleep(500 * time.Millisecond)
		for n, caller := range callers {
			if isReset[n] {
				continue
			}
			_, err := caller.SendRequest(fmt.Sprintf("round-%d-%d", round, n))
			held := ""
			for _, t := range targets {
				if t.Holds(caller.Endpoint()) {
					held = t.ID
				}
			}
			if err != nil {
				isReset[n] = true
				c.Log("flow %d: %v; open at target %q", n, err, held)
			}
			if err == standin.ErrReset && held != "" {
				calm := min(time.Since(healed), time.Since(back))
				if calm < harness.InTouch {
					c.Log("%.1f s after the disruptions: not counted", calm.Seconds())
					continue
				}
				c.Broken("FLOW", "the client of flow %d got a reset that its target %s did not send, %.1f s after the end of the disruptions",
					n, held, calm.Seconds())
			}
		}
	}
	c.Finish()
}
