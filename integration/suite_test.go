// Package integration runs the real programs of gentianswitch on loopback and checks what they guarantee.
package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/emulator"
)

// binDir is the directory of the programs, which are built once before the specs run.
var binDir string

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "integration")
}

var _ = SynchronizedBeforeSuite(func() []byte {
	dir, err := os.MkdirTemp("", "gentian-bin-")
	Expect(err).NotTo(HaveOccurred())
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	return []byte(dir)
}, func(dir []byte) {
	binDir = string(dir)
})

var _ = SynchronizedAfterSuite(func() {}, func() {
	Expect(os.RemoveAll(binDir)).To(Succeed())
})

// startDeployment starts the processes of a deployment and stops them at the end of the spec.
func startDeployment(deployment emulator.Deployment) *emulator.Emulator {
	GinkgoHelper()
	e, err := emulator.New(deployment, binDir, GinkgoT().TempDir(), 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Stop)
	Expect(e.Start()).To(Succeed())
	return e
}
