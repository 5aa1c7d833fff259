// Command gentian-agent runs beside each target. It terminates callers' connections and forwards their requests to the target.
// With the subcommand opaque it runs an agent of opaque flows, whose packets it forwards without terminating connections.
package main

import (
	"crypto/tls"
	"flag"
	"math"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/agent"
	"gentianswitch/internal/control"
	"gentianswitch/internal/metrics"
	"gentianswitch/internal/program"
	"gentianswitch/internal/settings"
)

const name = "gentian-agent"

func main() {
	if len(os.Args) > 1 && os.Args[1] == opaqueCommand {
		os.Exit(opaqueService().Main(os.Args[2:]))
	}
	var o options
	service := program.Service{
		Name: name, Example: name + " --settings examples/sierra/agent-requests-1.yaml",
		MetricsPrefix: metrics.Agent, Define: o.define, Check: o.check, New: o.newProcess,
	}
	os.Exit(service.Main(os.Args[1:]))
}

// options are the settings of an agent. service holds the flag until check has validated it and copied it to settings.
type options struct {
	settings agent.Settings
	service  uint
	// publicCertificateFiles are the files of the certificate that callers see. publicCertificate is loaded from them.
	publicCertificateFiles control.Files
	publicCertificate      tls.Certificate
}

func (o *options) define(fs *flag.FlagSet) {
	fs.StringVar(&o.settings.Target, "target", "", "`host:port` at which the local target accepts HTTP/1.1")
	fs.UintVar(&o.service, "service", 0, "`number` of the service that the target runs, 1 to 65535")
	fs.IntVar(&o.settings.Slots, "slots", 0, "`number` of requests that the target runs at once")
	fs.IntVar(&o.settings.MaxFlows, "connections", 2000, "`number` of flows that the agent accepts")
	settings.AddrPortsVar(fs, &o.settings.Balancers, "balancers", "control addresses of the balancers")
	fs.StringVar(&o.publicCertificateFiles.Certificate, "public-certificate", "",
		"PEM `file` with the certificate for callers (default: the file of certificate)")
	fs.StringVar(&o.publicCertificateFiles.Key, "public-certificate-key", "",
		"PEM `file` with the private key of public-certificate")
	defineAdmissionFlags(fs, &o.settings)
}

func (o *options) check(common *settings.Common) error {
	if err := checkTargetSettings(common, o.settings, o.service); err != nil {
		return err
	}
	o.settings.Service = uint16(o.service)
	return o.loadPublicCertificate()
}

// loadPublicCertificate loads the certificate for callers. Without one, callers get the agent's own certificate.
func (o *options) loadPublicCertificate() error {
	hasCertificate, hasKey := o.publicCertificateFiles.Certificate != "", o.publicCertificateFiles.Key != ""
	if hasCertificate != hasKey {
		return eris.New("settings public-certificate and public-certificate-key: expected both or none")
	}
	if !hasCertificate {
		return nil
	}
	var err error
	o.publicCertificate, err = control.LoadKeyPair(o.publicCertificateFiles)
	return err
}

func (o *options) newProcess(parts program.Dependencies) (program.Process, error) {
	s := o.settings
	s.Zone, s.Data, s.Control = parts.Common.Zone, parts.Common.Data, parts.Common.Control
	if o.publicCertificateFiles.Certificate != "" {
		parts.Credentials.SetPublicCertificate(o.publicCertificate)
	}
	// quic-go would log a warning about the receive buffer, since its packets come from envelopes and not from a kernel socket.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	return agent.New(s, parts.Keys, parts.Credentials, parts.Log, parts.Scope, time.Now())
}

// checkTargetSettings returns an error for the first setting of the target that is missing or out of range.
func checkTargetSettings(common *settings.Common, s agent.Settings, service uint) error {
	switch {
	case s.Target == "":
		return common.MissingError("target", "host:port")
	case len(s.Balancers) == 0:
		return common.MissingError("balancers", "the control addresses of balancers")
	case service < 1 || service > math.MaxUint16:
		return eris.Errorf("setting service: %d, expected 1 to %d", service, math.MaxUint16)
	case s.Slots < 1:
		return eris.Errorf("setting slots: %d, expected at least 1", s.Slots)
	default:
		return nil
	}
}

// defineAdmissionFlags defines the flags of admission control: its policy and its limits.
func defineAdmissionFlags(fs *flag.FlagSet, s *agent.Settings) {
	fs.StringVar(&s.Policy, "policy", admit.PolicyFull, "admission policy: full, or fifo as a baseline to compare with")
	fs.IntVar(&s.ShortReserve, "short-reserve", admit.DefaultReserve,
		"least `number` of slots that long requests may not use; -1 for two fifths of the slots")
	fs.IntVar(&s.QueueLimit, "queue-limit", 256, "`number` of requests that may wait; further ones are refused")
	fs.DurationVar(&s.Deadline, "deadline", 10*time.Second, "`time` until the deadline of short requests that state none")
	fs.DurationVar(&s.LongDeadline, "long-deadline", 2*time.Minute, "`time` until the deadline of long requests that state none")
	fs.Int64Var(&s.BodyLimit, "body-limit", 1<<20,
		"limit in `bytes` of the body of a feed or short request; a larger one gets status 413")
	fs.Int64Var(&s.LongBodyLimit, "long-body-limit", 64<<20,
		"limit in `bytes` of the body of a long request; a larger one gets status 413")
	fs.DurationVar(&s.SlowStart, "slow-start", 5*time.Second,
		"`time` over which the share of new work of a starting target grows")
}
