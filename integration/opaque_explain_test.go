package integration

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/platform/standin"
)

// operationsPage is the page with the commands by which an operator finds the cause of a failed request.
const operationsPage = "../docs/OPERATIONS.md"

// pageCommand returns the command of the page whose line ends with a marker ("# trail"). It replaces the placeholders in the
// command, such as FLOW, by the given values.
func pageCommand(marker string, values map[string]string) string {
	GinkgoHelper()
	raw, err := os.ReadFile(operationsPage)
	Expect(err).NotTo(HaveOccurred())
	found := regexp.MustCompile(`(?m)^    (grep .*)# ` + marker + `$`).FindStringSubmatch(string(raw))
	Expect(found).NotTo(BeNil(), "the page has no command %q", marker)
	command := found[1]
	for name, value := range values {
		command = strings.ReplaceAll(command, name, value)
	}
	return command
}

// runPageCommand writes the logs of all processes to a directory, runs a command of the page there and returns its output.
func runPageCommand(d *opaqueDeployment, marker string, values map[string]string) string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	for i, p := range d.processes() {
		name := filepath.Join(dir, fmt.Sprintf("%02d-%s.log", i, p.ip))
		Expect(os.WriteFile(name, []byte(p.logText()), 0o600)).To(Succeed())
	}
	command := exec.Command("sh", "-c", pageCommand(marker, values))
	command.Dir = dir
	// grep exits with 1 when nothing matches; the caller looks at the output.
	output, _ := command.Output()
	return string(output)
}

var _ = Describe("The operators' page leads to the cause of", func() {
	It("a flow whose target died", func() {
		d := newOpaqueDeployment(1, 2)
		c := d.newCaller(alwaysVia(d.balancers[0]))
		Expect(c.Open()).To(Succeed())
		first, err := c.SendRequest("before")
		Expect(err).NotTo(HaveOccurred())
		for i, t := range d.targets {
			if t.Name == first {
				t.Crash()
				time.Sleep(5 * time.Millisecond) // a later start time distinguishes the incarnations
				d.startTarget(d.agents[i].ip, "lines")
				break
			}
		}
		_, err = c.SendRequest("after")
		Expect(err).To(MatchError(standin.ErrReset))
		values := map[string]string{"FLOW": c.Flow()}
		Eventually(func() string { return runPageCommand(d, "trail", values) }).WithTimeout(opaqueWaitLimit).Should(And(
			MatchRegexp(`"entry_ms":\d+.*"msg":"opaque flow placed","pong_ms":-?\d+.*"revision":[1-9]`),
			ContainSubstring(`"former":"`+first+`"`),
		))
		Expect(runPageCommand(d, "target", map[string]string{"INSTANCE": first})).To(ContainSubstring("target state"))
	})

	It("a flow that was refused in an overload", func() {
		d := newOpaqueDeployment(1, 1)
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines", opaqueLessUrgent: "lines"})
		Eventually(func() string { return d.balancers[0].logText() }).WithTimeout(opaqueWaitLimit).
			Should(ContainSubstring(`"configuration":6`))
		for i := range 10 {
			busy := d.newCaller(alwaysVia(d.balancers[0]))
			Expect(busy.Open()).To(Succeed())
			go func() { _, _ = busy.SendRequest(fmt.Sprint(standin.StalledPrefix, i)) }()
		}
		Eventually(func() int { return d.targets[0].RunCount(standin.StalledPrefix + "9") }).
			WithTimeout(opaqueWaitLimit).Should(BeNumerically(">", 0))
		c := d.newCallerTo(opaqueLessUrgent, alwaysVia(d.balancers[0]))
		Expect(c.Open()).To(MatchError(standin.ErrReset))
		Eventually(func() string { return runPageCommand(d, "trail", map[string]string{"FLOW": c.Flow()}) }).
			WithTimeout(opaqueWaitLimit).Should(And(
			MatchRegexp(`"heartbeat_ms":\d+.*"msg":"opaque flow waits"`),
			ContainSubstring(`"reason":"busy"`),
			ContainSubstring(`"msg":"opaque flow reset"`),
		))
	})

	It("a flow that was refused by an old configuration while the store was down", func() {
		d := newOpaqueDeployment(1, 1)
		d.store.SetFault("", standin.Reset)
		d.configure(map[netip.AddrPort]string{opaqueAddress: "lines", opaqueLessUrgent: "lines"})
		c := d.newCallerTo(opaqueLessUrgent, alwaysVia(d.balancers[0]))
		Expect(c.Open()).To(MatchError(standin.ErrReset))
		Eventually(func() string { return runPageCommand(d, "trail", map[string]string{"FLOW": c.Flow()}) }).
			WithTimeout(opaqueWaitLimit).Should(And(ContainSubstring(`"reason":"no_route"`), ContainSubstring(`"configuration":3`)))
		Eventually(func() string { return runPageCommand(d, "configuration", nil) }).
			WithTimeout(opaqueWaitLimit).Should(And(ContainSubstring("configuration applied"), ContainSubstring("store unavailable")))
	})
})
