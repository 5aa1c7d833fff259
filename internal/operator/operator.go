// Package operator implements what gentianctl does: each command returns a report for people and scripts, and an exit
// code.
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
	// ExitDone means that the command has done what was asked.
	ExitDone ExitCode = 0
	// ExitFailed means that the command failed; a change was not accepted and never takes effect.
	ExitFailed ExitCode = 1
	// ExitUsage means that arguments, settings or tables are invalid; nothing was done.
	ExitUsage ExitCode = 2
	// ExitUnknown means that a change may or may not take effect; repeat it with the same change ID.
	ExitUnknown ExitCode = 3
	// ExitRefused means that a change does not fit what others have changed; it never takes effect.
	ExitRefused ExitCode = 4
	// ExitPending means that what was asked is under way, but has not ended within the timeout.
	ExitPending ExitCode = 5
)

// Formats of reports.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Report is the outcome of a command. Its JSON form is for scripts.
type Report interface {
	// Text returns the form for people.
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

// Operator reaches the store, the balancers and the agents of a deployment.
type Operator struct {
	log *revision.Log
	// balancers are the control addresses of balancers; a few are enough.
	balancers   []netip.AddrPort
	credentials *control.Credentials
	now         func() time.Time
}

// New returns an operator. The credentials may be nil when there are no balancers.
func New(kv store.Store, balancers []netip.AddrPort, credentials *control.Credentials) *Operator {
	return &Operator{log: revision.NewLog(kv), balancers: balancers, credentials: credentials, now: time.Now}
}
