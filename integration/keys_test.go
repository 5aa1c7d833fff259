package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/program"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
)

const (
	keysLoaded  = `"msg":"keys loaded"`
	keysRefused = `"msg":"keys refused"`
)

// writeKeys writes the key file. current is the identifier of the key for new flows.
func writeKeys(e *emulator.Emulator, current int, list ...keys.Key) {
	GinkgoHelper()
	text := fmt.Sprintf("current: %d\nkeys:\n", current)
	for _, k := range list {
		text += fmt.Sprintf("  - id: %d\n    secret: %x\n", k.ID, k.Secret)
	}
	Expect(os.WriteFile(e.File(certificates.KeysFile), []byte(text), 0o600)).To(Succeed())
}

// reloadKeys sends SIGHUP to processes and waits until the log of each contains the given text once more than before.
func reloadKeys(text string, processes ...*emulator.Process) {
	GinkgoHelper()
	before := make([]int, len(processes))
	for i, p := range processes {
		before[i] = countLogOccurrences(p, text)
		Expect(p.Signal(syscall.SIGHUP)).To(Succeed())
	}
	for i, p := range processes {
		Eventually(func() int { return countLogOccurrences(p, text) }, waitLimit).Should(Equal(before[i]+1), p.Name)
	}
}

func countLogOccurrences(p *emulator.Process, text string) int {
	GinkgoHelper()
	log, err := os.ReadFile(p.LogFile())
	Expect(err).NotTo(HaveOccurred())
	return strings.Count(string(log), text)
}

// issuedKeyID opens a flow and returns the identifier of the key that encrypted its connection ID: the second byte of the
// short-header packets that the caller sends.
func issuedKeyID(e *emulator.Emulator) byte {
	GinkgoHelper()
	relay := startRecorder(e.Address(emulator.PortShort))
	caller := newCaller(e, emulator.PortShort)
	result := caller.Do(GinkgoT().Context(), callers.Request{
		ID: "key", Class: class.Short, Address: relay.front.LocalAddr().String(), Body: []byte("notice"),
	})
	Expect(result.Outcome).To(Equal(callers.Done))
	for _, d := range relay.datagrams() {
		if d[0]&longHeaderByte == shortHeaderByte {
			return d[1]
		}
	}
	Fail("the caller sent no short-header packet")
	return 0
}

var _ = Describe("Keys", func() {
	It("are rotated without breaking a flow, and new flows use the new key", func() {
		e := startDeployment(smallDeployment())
		feeds := openFeeds(e, 12, 60)
		openFlows := startConversations(e)
		newFlows := startArrivals(e)
		processes := append(append([]*emulator.Process(nil), e.Balancers...), e.Agents...)
		initialSet, err := keys.Load(e.File(certificates.KeysFile))
		Expect(err).NotTo(HaveOccurred())
		previousKey := *initialSet.Current()
		nextKey := keys.Key{ID: 2, Secret: [keys.SecretSize]byte{1, 2, 3}}

		Expect(issuedKeyID(e)).To(Equal(previousKey.ID))
		writeKeys(e, 1, previousKey, nextKey)
		reloadKeys(keysLoaded, processes...)
		openFlows.awaitProgress()
		writeKeys(e, 2, previousKey, nextKey)
		reloadKeys(keysLoaded, processes...)
		openFlows.awaitProgress()
		Expect(issuedKeyID(e)).To(Equal(nextKey.ID))
		newFlows.expectServed()
		openFlows.expectUnbroken()
		feeds.expectComplete()

		writeKeys(e, 2, nextKey)
		reloadKeys(keysLoaded, processes...)
		Expect(issuedKeyID(e)).To(Equal(nextKey.ID))
	})

	It("that do not load after SIGHUP leave the previous ones in force", func() {
		e := startDeployment(smallDeployment())
		feeds := openFeeds(e, 12, 30)
		for _, text := range []string{"", "current: 9\nkeys: []\n", "current: 1\nkeys:\n  - id: 1\n    secret: abc\n"} {
			Expect(os.WriteFile(e.File(certificates.KeysFile), []byte(text), 0o600)).To(Succeed())
			reloadKeys(keysRefused, e.Balancers[0], e.Agents[0])
		}
		Expect(os.Remove(e.File(certificates.KeysFile))).To(Succeed())
		reloadKeys(keysRefused, e.Balancers[0], e.Agents[0])
		Expect(issuedKeyID(e)).To(BeEquivalentTo(1))
		feeds.expectComplete()
	})

	DescribeTable("and certificates that do not load at the start end the program with exit code 2 and name the file",
		func(programName string, extra []string, file string) {
			dir := GinkgoT().TempDir()
			Expect(certificates.Write(dir)).To(Succeed())
			Expect(os.WriteFile(filepath.Join(dir, file), []byte("no such thing"), 0o600)).To(Succeed())
			command := exec.Command(filepath.Join(binDir, programName), append([]string{
				"--zone", "quito", "--data", "127.0.0.1:4400", "--control", "127.0.0.1:4401",
				"--keys", filepath.Join(dir, certificates.KeysFile),
				"--certificate", filepath.Join(dir, certificates.CertificateFile),
				"--certificate-key", filepath.Join(dir, certificates.KeyFile),
				"--authority", filepath.Join(dir, certificates.AuthorityFile),
			}, extra...)...)
			output, _ := command.CombinedOutput()
			Expect(command.ProcessState.ExitCode()).To(Equal(program.ExitUsage), string(output))
			Expect(string(output)).To(ContainSubstring(file))
		},
		badFileEntries("gentian-balancer", "--store", "127.0.0.1:4390"),
		badFileEntries("gentian-agent", "--target", "127.0.0.1:8080", "--service", "1", "--slots", "5",
			"--balancers", "127.0.0.1:1"),
	)

	It("aside, a caller's path MTU probes over 1400 bytes are dropped and counted, and its flow continues", func() {
		e := startDeployment(smallDeployment())
		feeds := openFeeds(e, 6, 30)
		oversized := func() (float64, error) {
			return e.TotalMetric(e.Balancers, "gentian_balancer_dropped_oversized")
		}
		Eventually(oversized, waitLimit).Should(BeNumerically(">", 0))
		feeds.expectComplete()
	})
})

// badFileEntries returns one entry for each file of keys and certificates that a program loads at its start.
func badFileEntries(programName string, extra ...string) []TableEntry {
	var entries []TableEntry
	for _, file := range []string{
		certificates.KeysFile, certificates.CertificateFile, certificates.KeyFile, certificates.AuthorityFile,
	} {
		entries = append(entries, Entry(programName+" with a bad "+file, programName, extra, file))
	}
	return entries
}
