// Package operator implements the commands of gentianctl. Each command returns an exit code and a report, which can be
// written as text for people or as JSON for scripts.
package operator

import (
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/revision"
	"gentianswitch/internal/store"
)

// ExitCode is the exit code of gentianctl.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means that the command failed. A change was not accepted and never takes effect.
	ExitFailed ExitCode = 1
	// ExitUsage means that arguments, settings or tables are invalid. Nothing was done.
	ExitUsage ExitCode = 2
	// ExitUnknown means that a change may or may not take effect. It can be repeated with the same change ID.
	ExitUnknown ExitCode = 3
	// ExitRefused means that a change conflicts with changes of other operators. It never takes effect.
	ExitRefused ExitCode = 4
	// ExitPending means that a change or a drain has started but was not complete within the timeout.
	ExitPending ExitCode = 5
)

// Formats of reports.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Report is the outcome of a command. It is encoded as JSON for scripts.
type Report interface {
	// Text returns the report as text for people.
	Text() string
}

// Write writes a report in the given format.
func Write(w io.Writer, format string, report Report) error {
	if format == FormatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(report), "write report")
	}
	_, err := io.WriteString(w, report.Text())
	return eris.Wrap(err, "write report")
}

// Operator runs commands against the store, the balancers and the agents of a deployment.
type Operator struct {
	// log is the log of accepted changes in the store.
	log *revision.Log
	// balancers are the control addresses of some balancers. They report the addresses of the others.
	balancers   []netip.AddrPort
	credentials *control.Credentials
	now         func() time.Time
}

// New returns an operator. The credentials may be nil if no command is used that connects to a balancer or an agent.
func New(kv store.Store, balancers []netip.AddrPort, credentials *control.Credentials) *Operator {
	return &Operator{log: revision.NewLog(kv), balancers: balancers, credentials: credentials, now: time.Now}
}
