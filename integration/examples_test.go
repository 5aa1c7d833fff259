package integration

import (
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/standin/certificates"
)

// checkArgs returns arguments that check a settings file with temporary keys and certificates, since the examples name files
// that exist only on a VM.
func checkArgs(dir, settings string) []string {
	return []string{
		"--settings", settings, "--check",
		"--keys", filepath.Join(dir, certificates.KeysFile),
		"--certificate", filepath.Join(dir, certificates.CertificateFile),
		"--certificate-key", filepath.Join(dir, certificates.KeyFile),
		"--authority", filepath.Join(dir, certificates.AuthorityFile),
	}
}

// expectSuccess runs a program and expects exit code 0.
func expectSuccess(program string, args ...string) {
	GinkgoHelper()
	output, err := exec.Command(filepath.Join(binDir, program), args...).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s %s: %s", program, strings.Join(args, " "), output)
}

var _ = Describe("Examples", func() {
	for _, name := range []string{"sierra", "taiwan"} {
		It("of "+name+" are valid and cover every balancer and agent of the deployment", func() {
			dir := GinkgoT().TempDir()
			Expect(certificates.Write(dir)).To(Succeed())
			balancers, err := filepath.Glob(filepath.Join("..", "examples", name, "balancer-*.yaml"))
			Expect(err).NotTo(HaveOccurred())
			Expect(balancers).To(HaveLen(3))
			for _, file := range balancers {
				expectSuccess("gentian-balancer", checkArgs(dir, file)...)
			}
			agents, err := filepath.Glob(filepath.Join("..", "examples", name, "agent-*.yaml"))
			Expect(err).NotTo(HaveOccurred())
			Expect(agents).To(HaveLen(10))
			for _, file := range agents {
				expectSuccess("gentian-agent", checkArgs(dir, file)...)
			}
			operator := filepath.Join("..", "examples", name, "gentianctl.yaml")
			tables := filepath.Join("..", "examples", name, "tables.yaml")
			expectSuccess("gentianctl", "validate", "--settings", operator, "--file", tables)
			expectSuccess("gentianctl", "status", "--settings", operator, "--check",
				"--certificate", filepath.Join(dir, certificates.CertificateFile),
				"--certificate-key", filepath.Join(dir, certificates.KeyFile),
				"--authority", filepath.Join(dir, certificates.AuthorityFile))
		})
	}
})
