package emulator

import (
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/standin/certificates"
)

// Answer is what a run of gentianctl printed, and its exit code.
type Answer struct {
	Code   int
	Output string
}

// OperatorFile returns the path of the settings of gentianctl.
func (e *Emulator) OperatorFile() string {
	return e.File("gentianctl.yaml")
}

func (e *Emulator) writeOperatorFile() error {
	var text strings.Builder
	fmt.Fprintf(&text, "store: %s\nbalancers:\n", e.StoreAddress())
	for _, address := range e.ControlAddresses() {
		fmt.Fprintf(&text, "  - %s\n", address)
	}
	fmt.Fprintf(&text, "certificate: %s\ncertificate-key: %s\nauthority: %s\n",
		e.File(certificates.CertificateFile), e.File(certificates.KeyFile), e.File(certificates.AuthorityFile))
	return eris.Wrap(os.WriteFile(e.OperatorFile(), []byte(text.String()), fileMode), "write settings of gentianctl")
}

// Operate runs gentianctl with the settings of the deployment. It may run several times at once.
func (e *Emulator) Operate(args ...string) (Answer, error) {
	number := e.operations.Add(1)
	withSettings := append([]string{args[0], "--settings", e.OperatorFile()}, args[1:]...)
	name := fmt.Sprintf("gentianctl-%d", number)
	p := e.process(name, "", "gentianctl", withSettings...)
	if err := p.Start(); err != nil {
		return Answer{}, err
	}
	if err := p.Wait(readyTimeout); err != nil {
		_ = p.Kill()
		return Answer{}, err
	}
	output, err := os.ReadFile(p.LogFile())
	return Answer{Code: p.ExitCode(), Output: string(output)}, eris.Wrap(err, "read output")
}

// Control runs gentianctl as Operate does, and returns its output in the error when it fails.
func (e *Emulator) Control(args ...string) error {
	answer, err := e.Operate(args...)
	if err == nil && answer.Code != 0 {
		err = eris.Errorf("gentianctl %s: exit code %d: %s", args[0], answer.Code, answer.Output)
	}
	return err
}
