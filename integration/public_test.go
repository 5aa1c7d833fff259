package integration

import (
	"context"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gentianswitch/internal/class"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/standin/callers"
	"gentianswitch/internal/standin/certificates"
)

// sendTrusting sends one short request as a caller that trusts the authority in the PEM file.
func sendTrusting(e *emulator.Emulator, authority string) callers.Outcome {
	GinkgoHelper()
	caller, err := callers.New(authority, e.Deployment.PoolOf(emulator.PortShort).Name)
	Expect(err).NotTo(HaveOccurred())
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return caller.Do(ctx, callers.Request{ID: "public", Class: class.Short, Address: e.Address(emulator.PortShort)}).Outcome
}

var _ = Describe("The certificate for callers", func() {
	It("differs from that of the control connections when the settings name a public one", func() {
		public := GinkgoT().TempDir()
		Expect(certificates.Write(public)).To(Succeed())
		d := smallDeployment()
		d.AgentArgs = []string{
			"--public-certificate", filepath.Join(public, certificates.CertificateFile),
			"--public-certificate-key", filepath.Join(public, certificates.KeyFile),
		}
		e := startDeployment(d)
		Expect(sendTrusting(e, filepath.Join(public, certificates.AuthorityFile))).To(Equal(callers.Done))
		Expect(sendTrusting(e, e.File(certificates.AuthorityFile))).To(Equal(callers.Unreachable))
	})
})
