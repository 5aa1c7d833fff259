package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
	"gentianswitch/internal/standin/target"
)

// onePoolDeployment returns a deployment of 2 balancers whose routes of all three classes lead to one pool. agentArgs are
// additional arguments of its agents.
func onePoolDeployment(hosts, slots int, agentArgs ...string) emulator.Deployment {
	return emulator.Deployment{
		Name:      "one-pool",
		Zones:     []string{"quito", "ambato", "cuenca"},
		Balancers: 2,
		Pools:     []emulator.Pool{{Name: "requests", Service: 1, VMs: hosts, Slots: slots}},
		Routes: []emulator.Route{
			{Name: "feeds", Port: emulator.PortFeed, Pool: "requests", Class: class.Feed},
			{Name: "short", Port: emulator.PortShort, Pool: "requests", Class: class.Short},
			{Name: "long", Port: emulator.PortLong, Pool: "requests", Class: class.Long},
		},
		AgentArgs: append([]string{"--slow-start", "0s"}, agentArgs...),
	}
}

// client sends requests on one flow, which it closes at the end of the spec.
type client struct {
	e      *emulator.Emulator
	caller *callers.Caller
}

func newClient(e *emulator.Emulator) *client {
	GinkgoHelper()
	caller, err := callers.New(e.File(certificates.AuthorityFile), "requests")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(caller.Close)
	return &client{e: e, caller: caller}
}

// send sends a request to the route of its class and returns the result.
func (c *client) send(request callers.Request) callers.Result {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return c.sendWithContext(ctx, request)
}

func (c *client) sendWithContext(ctx context.Context, request callers.Request) callers.Result {
	ports := map[class.Class]uint16{
		class.Feed: emulator.PortFeed, class.Short: emulator.PortShort, class.Long: emulator.PortLong,
	}
	request.Address = c.e.Address(ports[request.Class])
	return c.caller.Do(ctx, request)
}

// sendInBackground sends a request and returns a channel that receives its result.
func (c *client) sendInBackground(request callers.Request) <-chan callers.Result {
	results := make(chan callers.Result, 1)
	go func() { results <- c.send(request) }()
	return results
}

// shortRequest returns a short request that takes the given time at the target.
func shortRequest(id string, work time.Duration) callers.Request {
	return callers.Request{ID: id, Class: class.Short, Work: work, Body: []byte("dedication")}
}

// runOf returns what the first target reports about its runs of a request.
func runOf(e *emulator.Emulator, id string) target.Run {
	GinkgoHelper()
	return runAtTarget(e, 0, id)
}

// runAtTarget returns what target i reports about its runs of a request.
func runAtTarget(e *emulator.Emulator, i int, id string) target.Run {
	GinkgoHelper()
	answer, err := http.Get(e.TargetURL(i) + target.PathRuns)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	var list []target.Run
	Expect(json.NewDecoder(answer.Body).Decode(&list)).To(Succeed())
	for _, r := range list {
		if r.Request == id {
			return r
		}
	}
	return target.Run{Request: id}
}

// setTargetFaults replaces the faults of the first target.
func setTargetFaults(e *emulator.Emulator, faults target.Faults) {
	GinkgoHelper()
	text, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	Expect(emulator.SetFaults(e.TargetURL(0)+target.PathFaults, string(text))).To(Succeed())
}

// countLogLines returns the number of lines in a process's log that contain all the given texts.
func countLogLines(p *emulator.Process, texts ...string) int {
	GinkgoHelper()
	log, err := os.ReadFile(p.LogFile())
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for line := range strings.Lines(string(log)) {
		isMatch := true
		for _, text := range texts {
			isMatch = isMatch && strings.Contains(line, text)
		}
		if isMatch {
			count++
		}
	}
	return count
}
