//go:build review

// Case 3: a route moves to another service, and then a balancer is added.
package main

import (
	"fmt"
	"net/netip"
	"time"

	"gentianswitch/platform/standin"
	"gentianswitch/review/harness"
)

var feed = netip.MustParseAddrPort("127.200.0.1:8443")

const clients = 6

// client has one open flow, on which it sends a request every two seconds.
type client struct {
	name     string
	caller   *standin.Caller
	via      *harness.Machine
	holder   string
	openedAt time.Time
}

func main() {
	c := harness.New()
	route := func(service string) []harness.Route {
		return []harness.Route{{Name: "feed", Address: feed, Service: service, Type: "safe", Priority: 2}}
	}
	c.Configure(route("pedidos"))
	var balancers []*harness.Machine
	for n := range 3 {
		balancers = append(balancers, c.AddBalancer(fmt.Sprintf("zone-%d", n+1)))
	}
	targets := map[string]*harness.Target{}
	for n, service := range []string{"pedidos", "pedidos", "pedidos", "pedidos-new", "pedidos-new", "pedidos-new"} {
		m := c.AddAgent(fmt.Sprintf("zone-%d", n%3+1), service)
		name := fmt.Sprintf("i-%s-%d", service, n+1)
		targets[name] = c.StartTarget(m, name, service, time.Now().UnixMilli())
	}
	for _, b := range balancers {
		c.AwaitReady(b)
	}
	// All eras are settled after 8 to 11 s.
	time.Sleep(14 * time.Second)

	var open []*client
	for n := range clients {
		k := &client{name: fmt.Sprintf("client-%d", n+1), via: balancers[n%len(balancers)], openedAt: time.Now()}
		k.caller = c.NewCaller(feed, func() *harness.Machine { return k.via })
		defer k.caller.Close()
		if err := k.caller.Open(); err != nil {
			c.NoRun("%s opens its flow: %v", k.name, err)
		}
		open = append(open, k)
		request(c, k, 0)
	}
	time.Sleep(time.Second)
	version := c.Configure(route("pedidos-new"))
	c.Log("version %d acknowledged: route feed goes from service pedidos to service pedidos-new", version)
	for n := range 3 {
		time.Sleep(2 * time.Second)
		for _, k := range open {
			request(c, k, n+1)
		}
	}
	fresh := c.NewCaller(feed, harness.Via(balancers[0]))
	defer fresh.Close()
	if err := fresh.Open(); err != nil {
		c.NoRun("new flow after the change: %v", err)
	}
	answer, err := fresh.SendRequest("new")
	c.Log("request on a flow opened after the change: answered by %q, %v", answer, err)

	if harness.Trouble() {
		added := c.AddBalancer("zone-1")
		c.AwaitReady(added)
		c.Log("%s was added; from now on the routers send it the packets of half of the flows", added.Name)
		for n, k := range open {
			if n%2 == 0 {
				k.via = added
			}
		}
	}
	// Until then the added machine has been in touch for stable_window_ms.
	time.Sleep(harness.InTouch + 500*time.Millisecond)
	for n := range 3 {
		time.Sleep(2 * time.Second)
		for _, k := range open {
			if k.caller == nil {
				continue
			}
			if err := request(c, k, n+4); err != nil {
				c.Broken("FLOW", "the open flow %s of %s, held by %s, got via %s: %v; age of the flow %v, its target runs and holds it: %v",
					k.caller.Flow(), k.name, k.holder, k.via.Name, err, time.Since(k.openedAt).Round(time.Millisecond),
					targets[k.holder].Holds(k.caller.Endpoint()))
				k.caller = nil
			}
		}
	}
	c.Finish()
}

// request sends a request on an open flow. It returns the error if the flow was reset.
func request(c *harness.Cluster, k *client, n int) error {
	answer, err := k.caller.SendRequest(fmt.Sprintf("%s-%d", k.name, n))
	c.Log("%s sends request %d via %s: answered by %q, %v", k.name, n, k.via.Name, answer, err)
	if err == nil {
		k.holder = answer
	}
	if err == standin.ErrReset {
		return err
	}
	return nil
}
