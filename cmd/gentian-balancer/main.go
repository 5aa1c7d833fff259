// Command gentian-balancer runs on each entry VM. It forwards callers' datagrams to the agents beside the targets. With the
// subcommand opaque it runs a balancer of opaque flows.
package main

import (
	"context"
	"flag"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/balancer"
	"gentianswitch/internal/member"
	"gentianswitch/internal/metrics"
	"gentianswitch/internal/program"
	"gentianswitch/internal/route"
	"gentianswitch/internal/settings"
	"gentianswitch/internal/store"
)

const name = "gentian-balancer"

func main() {
	if len(os.Args) > 1 && os.Args[1] == opaqueCommand {
		os.Exit(opaqueService().Main(os.Args[2:]))
	}
	var o options
	service := program.Service{
		Name: name, Example: name + " --settings examples/sierra/balancer-quito.yaml",
		MetricsPrefix: metrics.Balancer, Define: o.define, Check: o.check, New: o.newProcess,
	}
	os.Exit(service.Main(os.Args[1:]))
}

// options are the settings of a balancer. The last three are text that check parses and copies to settings.
type options struct {
	settings  balancer.Settings
	bindIP    string
	detection string
	placement string
}

func (o *options) define(fs *flag.FlagSet) {
	fs.StringVar(&o.settings.Store, "store", "", "`host:port` of the platform's key-value service")
	fs.StringVar(&o.bindIP, "bind-ip", "",
		"local `IP` to bind in place of routes' addresses, for fabrics that rewrite the destination")
	fs.StringVar(&o.detection, "detection", member.Conservative.String(),
		"when a target or a balancer counts as failed: conservative (no observer hears it) or aggressive (one does not)")
	fs.StringVar(&o.placement, "placement", route.SlotHashing{}.Name(),
		"how a target is chosen for a new flow: slots or rendezvous")
	settings.AddrPortsVar(fs, &o.settings.Peers, "peers",
		"control addresses of balancers from which this one learns about the others")
	settings.PrefixesVar(fs, &o.settings.AgentNetworks, "agent-networks", "networks of agents; empty allows every address")
}

func (o *options) check(common *settings.Common) error {
	var err error
	if o.settings.Store == "" {
		return common.MissingError("store", "host:port")
	}
	if o.settings.Detection, err = member.DetectionByName(o.detection); err != nil {
		return eris.Wrap(err, "setting detection")
	}
	if o.settings.Placement, err = route.StrategyByName(o.placement); err != nil {
		return eris.Wrap(err, "setting placement")
	}
	if o.bindIP == "" {
		return nil
	}
	o.settings.BindIP, err = netip.ParseAddr(o.bindIP)
	return eris.Wrap(err, "setting bind-ip")
}

// process adapts a balancer to program.Process. The shutdown of a balancer is never forced, so it ignores the second context.
type process struct{ *balancer.Balancer }

// Run implements program.Process.
func (p process) Run(graceful, _ context.Context) error {
	return p.Balancer.Run(graceful)
}

func (o *options) newProcess(parts program.Dependencies) (program.Process, error) {
	s := o.settings
	s.Zone, s.Data, s.Control = parts.Common.Zone, parts.Common.Data, parts.Common.Control
	b, err := balancer.New(s, parts.Keys, parts.Credentials, store.NewHTTP(s.Store), parts.Log, parts.Scope)
	return process{b}, err
}
