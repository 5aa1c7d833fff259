package main

import (
	"flag"
	"net/netip"
	"time"

	"gentianswitch/internal/metrics"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/sidecar"
	"gentianswitch/internal/program"
	"gentianswitch/internal/settings"
	"gentianswitch/platform"
)

// defaultGrace is the grace time of the users' platform.
const defaultGrace = 6 * time.Second

// opaqueCommand is the first argument that starts an agent of opaque flows on the users' platform.
const opaqueCommand = "opaque"

func opaqueService() program.Service {
	var o opaqueOptions
	return program.Service{
		Name: name, Example: name + " " + opaqueCommand + " --settings agent.yaml",
		MetricsPrefix: metrics.Agent, Define: o.define, Check: o.check, New: o.newProcess, WithoutPeers: true,
	}
}

type opaqueOptions struct {
	store, service             string
	outbound, target, announce netip.AddrPort
	peer                       netip.AddrPort
	heartbeat                  time.Duration
	grace, flowLifetime        time.Duration
}

const (
	// shortestHeartbeat keeps a wrong setting from making targets come and go: a pause of a busy VM is shorter.
	shortestHeartbeat = 100 * time.Millisecond
	// shortestGrace leaves time for the last call to the store.
	shortestGrace = time.Second
	// shortestFlowLifetime is above the time for which callers repeat packets.
	shortestFlowLifetime = 5 * time.Second
)

func (o *opaqueOptions) define(fs *flag.FlagSet) {
	fs.StringVar(&o.store, "store", "", "`host:port` of the platform's metadata store")
	fs.StringVar(&o.service, "service", "", "`name` of the service that the target runs")
	settings.AddrPortVar(fs, &o.target, "target", "IPv4 `ip:port` at which the local target receives packets")
	settings.AddrPortVar(fs, &o.outbound, "outbound", "IPv4 `ip:port` that receives the packets of the target")
	settings.AddrPortVar(fs, &o.announce, "announce", "IPv4 `ip:port` that receives the heartbeats of the target")
	fs.DurationVar(&o.heartbeat, "heartbeat", time.Second, "interval of the target's heartbeats")
	fs.DurationVar(&o.grace, "grace", defaultGrace, "`time` after which an agent that was told to stop is killed")
	fs.DurationVar(&o.flowLifetime, "flow-lifetime", flow.Lifetime, "age from which on flows may be discarded")
	settings.AddrPortVar(fs, &o.peer, "peer", "IPv4 `ip:port` whose port is that at which balancers receive frames")
}

func (o *opaqueOptions) check(common *settings.Common) error {
	if o.store == "" {
		return common.MissingError("store", "host:port")
	}
	if o.service == "" {
		return common.MissingError("service", "the name of a service")
	}
	if o.heartbeat < shortestHeartbeat {
		return common.MissingError("heartbeat", "at least "+shortestHeartbeat.String())
	}
	if o.grace < shortestGrace {
		return common.MissingError("grace", "at least "+shortestGrace.String())
	}
	if o.flowLifetime < shortestFlowLifetime {
		return common.MissingError("flow-lifetime", "at least "+shortestFlowLifetime.String())
	}
	for _, a := range []struct {
		name  string
		value netip.AddrPort
	}{{"target", o.target}, {"outbound", o.outbound}, {"announce", o.announce}, {"peer", o.peer}} {
		if !a.value.IsValid() {
			return common.MissingError(a.name, "ip:port")
		}
	}
	return nil
}

func (o *opaqueOptions) newProcess(parts program.Dependencies) (program.Process, error) {
	s := sidecar.Settings{
		Data: parts.Common.Data, Outbound: o.outbound, Target: o.target, Announce: o.announce,
		PeerPort: o.peer.Port(), Service: o.service, Heartbeat: o.heartbeat,
		Grace: o.grace, FlowLifetime: o.flowLifetime,
	}
	return program.NewKeylessProcess(sidecar.New(s, sidecar.Dependencies{
		Codec:               platform.PacketCodec{},
		Store:               platform.NewStore(o.store, metrics.StoreCalls(parts.Scope)),
		NewHeartbeatHandler: platform.HeartbeatHandler,
		Log:                 parts.Log, Scope: parts.Scope,
	}).Run), nil
}
