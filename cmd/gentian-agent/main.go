// Command gentian-agent runs beside each target. It ends callers' connections and gives requests to the target.
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

// options are the settings of an agent; service is checked before it becomes part of them.
type options struct {
	settings agent.Settings
	service  uint
	// publicFiles names the files of the certificate for callers, public is what they hold.
	publicFiles control.Files
	public      tls.Certificate
}

func (o *options) define(fs *flag.FlagSet) {
	fs.StringVar(&o.settings.Target, "target", "", "`host:port` at which the local target accepts HTTP/1.1")
	fs.UintVar(&o.service, "service", 0, "`number` of the service that the target runs, 1 to 65535")
	fs.IntVar(&o.settings.Slots, "slots", 0, "`number` of requests that the target runs at once")
	fs.IntVar(&o.settings.MaxFlows, "connections", 2000, "`number` of flows that the agent accepts")
	settings.AddrPortsVar(fs, &o.settings.Balancers, "balancers", "control addresses of the balancers")
	fs.StringVar(&o.publicFiles.Certificate, "public-certificate", "", "PEM `file` with the certificate for callers; empty for certificate")
	fs.StringVar(&o.publicFiles.Key, "public-certificate-key", "", "PEM `file` with the private key of public-certificate")
	definePolicy(fs, &o.settings)
}

func (o *options) check(common *settings.Common) error {
	if err := checkTarget(common, o.settings, o.service); err != nil {
		return err
	}
	o.settings.Service = uint16(o.service)
	return o.loadPublic()
}

func (o *options) loadPublic() error {
	hasCertificate, hasKey := o.publicFiles.Certificate != "", o.publicFiles.Key != ""
	if hasCertificate != hasKey {
		return eris.New("settings public-certificate and public-certificate-key: expected both or none")
	}
	if !hasCertificate {
		return nil
	}
	var err error
	o.public, err = control.LoadKeyPair(o.publicFiles)
	return err
}

func (o *options) newProcess(parts program.Dependencies) (program.Process, error) {
	s := o.settings
	s.Zone, s.Data, s.Control = parts.Common.Zone, parts.Common.Data, parts.Common.Control
	if o.publicFiles.Certificate != "" {
		parts.Credentials.SetPublicCertificate(o.public)
	}
	// The library would log a line of its own, since it sees no kernel socket behind the envelopes.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	return agent.New(s, parts.Keys, parts.Credentials, parts.Log, parts.Scope, time.Now())
}

// checkTarget reports the first setting of the target that is missing or out of range.
func checkTarget(common *settings.Common, own agent.Settings, service uint) error {
	switch {
	case own.Target == "":
		return common.MissingError("target", "host:port")
	case len(own.Balancers) == 0:
		return common.MissingError("balancers", "the control addresses of balancers")
	case service < 1 || service > math.MaxUint16:
		return eris.Errorf("setting service: %d, expected 1 to %d", service, math.MaxUint16)
	case own.Slots < 1:
		return eris.Errorf("setting slots: %d, expected at least 1", own.Slots)
	default:
		return nil
	}
}

// definePolicy adds the settings of the admission and of its bounds.
func definePolicy(fs *flag.FlagSet, own *agent.Settings) {
	fs.StringVar(&own.Policy, "policy", admit.PolicyFull, "admission policy: full, or fifo as a baseline to compare with")
	fs.IntVar(&own.ShortReserve, "short-reserve", admit.DefaultReserve,
		"`number` of slots that long work may not take, at least; -1 for two fifths of the slots")
	fs.IntVar(&own.QueueLimit, "queue-limit", 256, "`number` of requests that may wait; the next is refused")
	fs.DurationVar(&own.Deadline, "deadline", 10*time.Second, "`time` for short requests that state no deadline")
	fs.DurationVar(&own.LongDeadline, "long-deadline", 2*time.Minute, "`time` for long requests that state no deadline")
	fs.Int64Var(&own.BodyLimit, "body-limit", 1<<20, "`bytes` of the body of a feed or short request; a larger one gets status 413")
	fs.Int64Var(&own.LongBodyLimit, "long-body-limit", 64<<20, "`bytes` of the body of a long request; a larger one gets status 413")
	fs.DurationVar(&own.SlowStart, "slow-start", 5*time.Second, "`time` over which a target that starts gets a growing share of new work")
}
