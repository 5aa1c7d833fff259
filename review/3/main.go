//go:build review

// A heartbeat of another writer, with fields missing, arrives at an agent. Then the target's flows are used.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"gentianswitch/platform/standin"
	"gentianswitch/review/harness"
)

const service = "svc"

func main() {
	c := harness.New()
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
	time.Sleep(2 * time.Second)
	var callers []*standin.Caller
	for n := range 8 {
		caller := c.NewCaller(route.Address, harness.Via(balancers[n%2]))
		if err := caller.Open(); err != nil {
			c.NoRun("flow %d: %v", n, err)
		}
		answer, err := caller.SendRequest(fmt.Sprintf("first-%d", n))
		if err != nil {
			c.NoRun("flow %d: %v", n, err)
		}
		c.Log("flow %d of %s is open at target %s", n, caller.Endpoint(), answer)
		callers = append(callers, caller)
	}
	time.Sleep(harness.InTouch)
	if harness.Trouble() {
		for n, agent := range agents {
			body := targets[n].Body()
			for _, field := range []string{"born", "zone", "version", "warmup_left_ms"} {
				delete(body, field)
			}
			status, err := put(fmt.Sprintf("http://%s/v1/instances/i-other-%d", c.Control(agent), n), body)
			c.Log("a heartbeat of another writer without the fields born, zone, version and warmup_left_ms at %s: status %d, %v",
				agent.Name, status, err)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for n, caller := range callers {
		answer, err := caller.SendRequest(fmt.Sprintf("second-%d", n))
		held := ""
		for _, t := range targets {
			if t.Holds(caller.Endpoint()) {
				held = t.ID
			}
		}
		c.Log("flow %d: answer of %q, error %v; open at target %q", n, answer, err, held)
		if err == standin.ErrReset && held != "" {
			c.Broken("FLOW", "the client of flow %d got a reset that its target %s did not send", n, held)
		}
	}
	c.Finish()
}

func put(url string, body map[string]any) (int, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_ = answer.Body.Close()
	return answer.StatusCode, nil
}
