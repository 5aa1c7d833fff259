//go:build review

// Case 1: a write that gets no answer and is done late, while the target that it reports as gone is back.
package main

import (
	"fmt"
	"net/netip"
	"time"

	"gentianswitch/platform/standin"
	"gentianswitch/review/harness"
)

const (
	crashFor     = 3150 * time.Millisecond
	lossAfter    = 2200 * time.Millisecond
	lossFor      = time.Second
	writeDelay   = 5500 * time.Millisecond
	flowsToOpen  = 5
	requestEvery = 400 * time.Millisecond
	watchFor     = 16 * time.Second
)

var feed = netip.MustParseAddrPort("127.200.0.1:8443")

type client struct {
	name   string
	caller *standin.Caller
}

func main() {
	c := harness.New()
	c.Configure([]harness.Route{{Name: "feed", Address: feed, Service: "pedidos", Type: "safe", Priority: 2}})
	late := c.NewLateStore()
	var balancers, agents []*harness.Machine
	for n := range 3 {
		balancers = append(balancers, c.AddBalancer(fmt.Sprintf("zone-%d", n+1)))
	}
	var targets []*harness.Target
	for n := range 3 {
		m := c.AddAgent(fmt.Sprintf("zone-%d", n+1), "pedidos")
		agents = append(agents, m)
		targets = append(targets, c.StartTarget(m, fmt.Sprintf("i-%d", n+1), "pedidos", time.Now().UnixMilli()))
	}
	for _, b := range balancers {
		c.AwaitReady(b)
	}
	// All eras are settled after 8 to 11 s.
	time.Sleep(14 * time.Second)
	host := targets[0]
	before := openFlows(c, host, balancers)
	for _, k := range before {
		answer, err := k.caller.SendRequest("before")
		c.Log("%s sends a request before the disruption: answered by %q, %v", k.name, answer, err)
		_ = k.caller.Finish()
		k.caller.Close()
	}
	if harness.Trouble() {
		host.Crash()
		crashed := time.Now()
		c.Log("%s crashes", host.ID)
		time.Sleep(time.Until(crashed.Add(lossAfter)))
		c.Log("the store begins to lose answers of writes")
		late.LoseWrites(writeDelay)
		time.Sleep(time.Until(crashed.Add(crashFor)))
		host = c.StartTarget(agents[0], "i-1b", "pedidos", time.Now().UnixMilli())
		time.Sleep(time.Until(crashed.Add(lossAfter + lossFor)))
		late.Heal()
		c.Log("the store loses no more answers; %d writes got none", late.Lost())
	}
	calm := time.Now().Add(harness.InTouch)
	time.Sleep(300 * time.Millisecond)
	open := openFlows(c, host, balancers)

	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(requestEvery) {
		for n := 0; n < len(open); n++ {
			k := open[n]
			sentAt := time.Now()
			_, err := k.caller.SendRequest(fmt.Sprintf("%s at %d", k.name, sentAt.UnixMilli()))
			if err == nil {
				continue
			}
			c.Log("%s on flow %s: %v; %s runs and holds the flow: %v", k.name, k.caller.Flow(), err, host.ID, host.Holds(k.caller.Endpoint()))
			if err == standin.ErrReset && host.Holds(k.caller.Endpoint()) && sentAt.After(calm) {
				c.Broken("FLOW", "%s got a reset on its open flow, which %s holds, %v after the end of all disruptions", k.name, host.ID,
					sentAt.Sub(calm.Add(-harness.InTouch)).Round(time.Millisecond))
			}
			open = append(open[:n], open[n+1:]...)
			n--
		}
	}
	c.Log("%d of %d flows are still open", len(open), flowsToOpen)
	c.Finish()
}

// openFlows opens flows until the target holds flowsToOpen of them.
func openFlows(c *harness.Cluster, host *harness.Target, balancers []*harness.Machine) (open []*client) {
	for n := 0; len(open) < flowsToOpen; n++ {
		if n == 200 {
			c.NoRun("%s gets no flows", host.ID)
		}
		via := balancers[n%len(balancers)]
		caller := c.NewCaller(feed, harness.Via(via))
		if err := caller.Open(); err != nil {
			c.Log("flow via %s: %v", via.Name, err)
			caller.Close()
			continue
		}
		answer, err := caller.SendRequest("first")
		if err != nil || answer != host.ID {
			_ = caller.Finish()
			caller.Close()
			continue
		}
		k := &client{name: fmt.Sprintf("client-%d", len(open)+1), caller: caller}
		c.Log("%s has an open flow %s at %s, its packets go via %s", k.name, caller.Flow(), answer, via.Name)
		open = append(open, k)
	}
	return open
}
