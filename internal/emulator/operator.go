package emulator

import (
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/standin/certificates"
)

// CommandResult is the output and the exit code of a run of gentianctl.
type CommandResult struct {
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

// RunGentianctl runs gentianctl with the settings of the deployment and returns its result, whatever the exit code. It
// may be called concurrently.
func (e *Emulator) RunGentianctl(args ...string) (CommandResult, error) {
	number := e.gentianctlRuns.Add(1)
	arguments := append([]string{args[0], "--settings", e.OperatorFile()}, args[1:]...)
	name := fmt.Sprintf("gentianctl-%d", number)
	p := e.newProcess(name, "", "gentianctl", arguments...)
	if err := p.Start(); err != nil {
		return CommandResult{}, err
	}
	if err := p.Wait(readyTimeout); err != nil {
		_ = p.Kill()
		return CommandResult{}, err
	}
	output, err := os.ReadFile(p.LogFile())
	return CommandResult{Code: p.ExitCode(), Output: string(output)}, eris.Wrap(err, "read output")
}

// RequireGentianctl runs gentianctl as RunGentianctl does, and returns an error with its output when it exits with
// another code than 0.
func (e *Emulator) RequireGentianctl(args ...string) error {
	answer, err := e.RunGentianctl(args...)
	if err == nil && answer.Code != 0 {
		err = eris.Errorf("gentianctl %s: exit code %d: %s", args[0], answer.Code, answer.Output)
	}
	return err
}
