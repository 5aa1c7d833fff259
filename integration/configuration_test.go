package integration

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/emulator"
	"gentianswitch/internal/operator"
	"gentianswitch/internal/revision"
	"gentianswitch/internal/standin/kv"
)

// inForceLimit is the guaranteed bound on the time from the acceptance of a change until it is in force on every balancer.
const inForceLimit = 4 * time.Second

// readerChangeLimit bounds the wait for a new choice of readers. It is longer than one watch of the store, after which a
// balancer decides again whether it reads the store.
const readerChangeLimit = 20 * time.Second

// readersStableTime is longer than two updates of the metrics, which come once a second.
const readersStableTime = 2500 * time.Millisecond

// storeReaders returns the balancers that read the store.
func storeReaders(e *emulator.Emulator) []*emulator.Process {
	var list []*emulator.Process
	for _, b := range e.Balancers {
		if value, err := e.Metric(b, "gentian_balancer_store_reader"); err == nil && value == 1 {
			list = append(list, b)
		}
	}
	return list
}

// awaitChosenReaders waits until three balancers read the store and remain its readers for readersStableTime. All balancers
// read for up to one watch after their start, until they know each other. Their metrics appear one after the other, so a
// single query may find just three of them.
func awaitChosenReaders(e *emulator.Emulator) []*emulator.Process {
	GinkgoHelper()
	var readers []*emulator.Process
	Eventually(func(g Gomega) {
		readers = storeReaders(e)
		g.Expect(readers).To(HaveLen(3))
		g.Consistently(storeReaders, readersStableTime).WithArguments(e).Should(Equal(readers))
	}, readerChangeLimit).Should(Succeed())
	return readers
}

// startOneTargetDeployment starts a deployment of three balancers in three availability zones and one target.
func startOneTargetDeployment() *emulator.Emulator {
	GinkgoHelper()
	small := emulator.Sierra()
	small.Pools = []emulator.Pool{{Name: "requests", Service: 1, VMs: 1, Slots: 5}, {Name: "voice", Service: 2}}
	return startDeployment(small)
}

// setStoreFaults replaces the faults of the store.
func setStoreFaults(e *emulator.Emulator, faults kv.Faults) {
	GinkgoHelper()
	text, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	Expect(emulator.SetFaults(e.StoreFaultsURL(), string(text))).To(Succeed())
}

// writeTables writes the deployment's tables to a file, with the given queue limit for the pool "requests".
func writeTables(e *emulator.Emulator, queueLimit int) string {
	GinkgoHelper()
	ip, _, _ := strings.Cut(e.Address(emulator.PortFeed), ":")
	text := strings.Replace(e.Deployment.Tables(ip), "service: 1\n",
		fmt.Sprintf("service: 1\n    queue_limit: %d\n", queueLimit), 1)
	file := e.File(fmt.Sprintf("tables-%d.yaml", queueLimit))
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

// applyTables runs gentianctl apply and returns its report and exit code.
func applyTables(e *emulator.Emulator, args ...string) (operator.ApplyReport, operator.ExitCode) {
	GinkgoHelper()
	answer, err := e.RunGentianctl(append([]string{"apply", "-o", "json"}, args...)...)
	Expect(err).NotTo(HaveOccurred())
	var report operator.ApplyReport
	Expect(json.Unmarshal([]byte(answer.Output), &report)).To(Succeed(), answer.Output)
	return report, operator.ExitCode(answer.Code)
}

// revisionsInForce returns the revision in force on each running balancer.
func revisionsInForce(e *emulator.Emulator) []uint64 {
	var list []uint64
	for _, b := range e.Balancers {
		if status, err := e.Status(b); err == nil {
			list = append(list, status.Revision)
		}
	}
	return list
}

// expectRevisionInForce waits until a revision is in force on every balancer.
func expectRevisionInForce(e *emulator.Emulator, number uint64) {
	GinkgoHelper()
	all := make([]uint64, len(e.Balancers))
	for i := range all {
		all[i] = number
	}
	Eventually(revisionsInForce, inForceLimit).WithArguments(e).Should(Equal(all))
}

// acceptedChanges returns the accepted changes in the store, newest first.
func acceptedChanges(e *emulator.Emulator) []operator.ChangeReport {
	GinkgoHelper()
	answer, err := e.RunGentianctl("history", "-o", "json")
	Expect(err).NotTo(HaveOccurred())
	var report operator.HistoryReport
	Expect(json.Unmarshal([]byte(answer.Output), &report)).To(Succeed(), answer.Output)
	return report.Changes
}

var _ = Describe("Configuration", func() {
	It("is in force everywhere although the store goes down right after it accepted the change", func() {
		e := startOneTargetDeployment()
		setStoreFaults(e, kv.Faults{DownAfterWrite: revision.HeadKey})
		report, code := applyTables(e, "--file", writeTables(e, 11))
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		expectRevisionInForce(e, report.Revision)
		setStoreFaults(e, kv.Faults{})
		Consistently(revisionsInForce, time.Second).WithArguments(e).Should(HaveEach(report.Revision))
	})

	It("is in force everywhere in time while the store is slow", func() {
		e := startOneTargetDeployment()
		setStoreFaults(e, kv.Faults{DelayMS: 1000})
		report, code := applyTables(e, "--file", writeTables(e, 12))
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		expectRevisionInForce(e, report.Revision)
	})

	It("is reported as not accepted when the store answers too late, and changes nothing", func() {
		e := startOneTargetDeployment()
		setStoreFaults(e, kv.Faults{DelayMS: 2500})
		report, code := applyTables(e, "--file", writeTables(e, 24), "--timeout", "3s")
		Expect(code).To(Equal(operator.ExitFailed), "%+v", report)
		setStoreFaults(e, kv.Faults{})
		Consistently(revisionsInForce, 3*time.Second).WithArguments(e).Should(HaveEach(BeEquivalentTo(1)))
	})

	It("is read from the store by three balancers of a zone, and others replace them when they die", func() {
		deployment := emulator.Sierra()
		deployment.Zones = []string{"quito"}
		deployment.Balancers = 6
		deployment.Pools = []emulator.Pool{{Name: "requests", Service: 1, VMs: 1, Slots: 5}, {Name: "voice", Service: 2}}
		e := startDeployment(deployment)
		for _, b := range awaitChosenReaders(e) {
			Expect(b.Kill()).To(Succeed())
			e.Balancers = slices.DeleteFunc(e.Balancers, func(other *emulator.Process) bool { return other == b })
		}
		Eventually(storeReaders, readerChangeLimit).WithArguments(e).Should(HaveLen(3))
		report, code := applyTables(e, "--file", writeTables(e, 25), "--store-only")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		expectRevisionInForce(e, report.Revision)
	})

	It("is reported as not accepted when the store is down, and changes nothing", func() {
		e := startOneTargetDeployment()
		setStoreFaults(e, kv.Faults{Down: true})
		report, code := applyTables(e, "--file", writeTables(e, 13), "--timeout", "1s")
		Expect(code).To(Equal(operator.ExitFailed), "%+v", report)
		Expect(report.Outcome).To(Equal("not accepted"))
		setStoreFaults(e, kv.Faults{})
		Consistently(revisionsInForce, time.Second).WithArguments(e).Should(HaveEach(BeEquivalentTo(1)))
		Expect(acceptedChanges(e)).To(HaveLen(1))
	})

	It("is found to be accepted when the answer is lost", func() {
		e := startOneTargetDeployment()
		setStoreFaults(e, kv.Faults{LoseWriteAnswers: true})
		report, code := applyTables(e, "--file", writeTables(e, 14), "--change-id", "lost-answer")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		setStoreFaults(e, kv.Faults{})
		Expect(acceptedChanges(e)).To(HaveLen(2))
		expectRevisionInForce(e, report.Revision)
	})

	It("says unknown when answer and store are lost, and can be repeated safely", func() {
		e := startOneTargetDeployment()
		file := writeTables(e, 15)
		setStoreFaults(e, kv.Faults{LoseWriteAnswers: true, DownAfterWrite: revision.HeadKey})
		report, code := applyTables(e, "--file", file, "--change-id", "repeated", "--timeout", "2s")
		Expect(code).To(Equal(operator.ExitUnknown), "%+v", report)
		Expect(report.Repeat).To(ContainSubstring("--change-id repeated --base 1"))
		setStoreFaults(e, kv.Faults{})
		for range 2 {
			report, code = applyTables(e, "--file", file, "--change-id", "repeated", "--base", "1")
			Expect(code).To(Equal(operator.ExitOK), "%+v", report)
			Expect(report.Revision).To(BeEquivalentTo(2))
		}
		Expect(acceptedChanges(e)).To(HaveLen(2))
		expectRevisionInForce(e, 2)
	})

	It("accepts the change of one of two racing operators and shows it to the other", func() {
		e := startOneTargetDeployment()
		const rounds = 5
		for round := range rounds {
			var reports [2]operator.ApplyReport
			var codes [2]operator.ExitCode
			var racers sync.WaitGroup
			for i := range codes {
				file := writeTables(e, 100+10*round+i)
				racers.Go(func() {
					defer GinkgoRecover()
					reports[i], codes[i] = applyTables(e, "--file", file, "--base", fmt.Sprint(round+1))
				})
			}
			racers.Wait()
			Expect(codes[:]).To(ConsistOf(operator.ExitOK, operator.ExitRefused), "%+v", reports)
			accepted, refused := reports[0], reports[1]
			if codes[1] == operator.ExitOK {
				accepted, refused = refused, accepted
			}
			Expect(refused.Conflicts).To(HaveLen(1))
			Expect(refused.Conflicts[0].Change).To(Equal(accepted.Change))
			Expect(refused.Conflicts[0].Rows).To(HaveLen(1))
			expectRevisionInForce(e, accepted.Revision)
		}
	})

	It("reaches a balancer that was paused for longer than a lease", func() {
		e := startOneTargetDeployment()
		paused := e.Balancers[0]
		Expect(paused.Signal(syscall.SIGSTOP)).To(Succeed())
		report, code := applyTables(e, "--file", writeTables(e, 16), "--wait", "--timeout", "5s")
		Expect(code).To(Equal(operator.ExitPending), "%+v", report)
		Expect(report.Unconfirmed).To(HaveLen(1))
		Expect(report.Unconfirmed[0].Addr().String()).To(Equal(paused.IP))
		Expect(paused.Signal(syscall.SIGCONT)).To(Succeed())
		expectRevisionInForce(e, report.Revision)
	})

	It("stays in force when the store comes back older, and the next change gets a higher revision", func() {
		e := startOneTargetDeployment()
		applyTables(e, "--file", writeTables(e, 17))
		report, code := applyTables(e, "--file", writeTables(e, 18), "--wait")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		Expect(report.Revision).To(BeEquivalentTo(3))
		setStoreFaults(e, kv.Faults{HeadVersion: 1})
		Expect(acceptedChanges(e)).To(HaveLen(1))
		Consistently(revisionsInForce, 2*time.Second).WithArguments(e).Should(HaveEach(BeEquivalentTo(3)))
		file := writeTables(e, 18)
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		withRoute := strings.Replace(string(text), "pools:\n",
			"  - name: added\n    address: "+e.Address(4434)+"\n    pool: voice\n    class: long\npools:\n", 1)
		Expect(os.WriteFile(file, []byte(withRoute), 0o600)).To(Succeed())
		report, code = applyTables(e, "--file", file, "--wait")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		Expect(report.Revision).To(BeEquivalentTo(4))
		Expect(report.IsStoreRestored).To(BeTrue())
		Expect(report.Rows).To(HaveLen(1), "only the new route differs from what was in force")
		expectRevisionInForce(e, 4)
	})

	It("reaches balancers that start while the store is down, also after all have been replaced", func() {
		e := startOneTargetDeployment()
		report, code := applyTables(e, "--file", writeTables(e, 19), "--wait")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		setStoreFaults(e, kv.Faults{Down: true})
		for _, b := range e.Balancers {
			Expect(b.Stop(stopLimit)).To(Succeed())
			Expect(b.Start()).To(Succeed())
			expectRevisionInForce(e, report.Revision)
		}
		_, err := e.AddBalancer()
		Expect(err).NotTo(HaveOccurred())
		expectRevisionInForce(e, report.Revision)
	})

	It("reaches a balancer that is cut from the store but not from its peers", func() {
		e := startOneTargetDeployment()
		disconnected := e.Balancers[0]
		Expect(disconnected.Stop(stopLimit)).To(Succeed())
		e.DisconnectFromStore(disconnected)
		Expect(disconnected.Start()).To(Succeed())
		expectRevisionInForce(e, 1)
		report, code := applyTables(e, "--file", writeTables(e, 20), "--store-only")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		expectRevisionInForce(e, report.Revision)
	})

	It("does not return to an older revision on a balancer that starts after the store came back older", func() {
		e := startOneTargetDeployment()
		report, code := applyTables(e, "--file", writeTables(e, 21), "--wait")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		setStoreFaults(e, kv.Faults{HeadVersion: 1})
		Expect(e.Balancers[0].Kill()).To(Succeed())
		Expect(e.Balancers[0].Start()).To(Succeed())
		expectRevisionInForce(e, report.Revision)
		Consistently(revisionsInForce, time.Second).WithArguments(e).Should(HaveEach(report.Revision))
	})

	It("reaches every balancer through the peers when gentianctl sent it to one balancer and the store went down", func() {
		e := startOneTargetDeployment()
		setStoreFaults(e, kv.Faults{DownAfterWrite: revision.HeadKey})
		onlyBalancer := e.ControlAddresses()[0]
		report, code := applyTables(e, "--file", writeTables(e, 22), "--balancers", onlyBalancer)
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		expectRevisionInForce(e, report.Revision)
	})

	It("distributes the declared policy of a pool to its agents", func() {
		e := startOneTargetDeployment()
		report, code := applyTables(e, "--file", writeTables(e, 23), "--wait")
		Expect(code).To(Equal(operator.ExitOK), "%+v", report)
		expected := fmt.Sprintf(`"msg":"policy applied","queue_limit":23,"revision":%d`, report.Revision)
		Eventually(os.ReadFile, inForceLimit).WithArguments(e.Agents[0].LogFile()).Should(ContainSubstring(expected))
	})

	It("refuses invalid tables with exit code 2 and applies nothing", func() {
		e := startOneTargetDeployment()
		file := writeTables(e, -1)
		for _, command := range []string{"validate", "plan", "apply"} {
			answer, err := e.RunGentianctl(command, "--file", file)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Code).To(BeEquivalentTo(operator.ExitUsage))
			Expect(answer.Output).To(ContainSubstring(`pools[0].queue_limit: "-1", expected a whole number from 0`))
		}
		Expect(revisionsInForce(e)).To(HaveEach(BeEquivalentTo(1)))
		Expect(acceptedChanges(e)).To(HaveLen(1))
	})
})
