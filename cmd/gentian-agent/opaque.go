package main

import (
	"flag"
	"math"
	"net/netip"
	"time"

	"gentianswitch/internal/metrics"
	"gentianswitch/internal/opaque/flow"
	"gentianswitch/internal/opaque/resident"
	"gentianswitch/internal/opaque/sidecar"
	"gentianswitch/internal/program"
	"gentianswitch/internal/settings"
	"gentianswitch/internal/store"
	"gentianswitch/platform"
)

// defaultGrace is the time that the users' platform leaves a process between the request to stop and the kill.
const defaultGrace = 6 * time.Second

// opaqueCommand is the subcommand that runs an agent for opaque flows on the users' platform.
const opaqueCommand = "opaque"

func opaqueService() program.Service {
	var o opaqueOptions
	return program.Service{
		Name: name, Example: name + " " + opaqueCommand + " --settings agent.yaml",
		MetricsPrefix: metrics.Agent, Define: o.define, Check: o.check, New: o.newProcess, WithoutPeers: true,
	}
}

// opaqueOptions are the flags of the subcommand. Only the port of peer is used.
type opaqueOptions struct {
	store, service             string
	outbound, target, announce netip.AddrPort
	peer                       netip.AddrPort
	heartbeat                  time.Duration
	grace, flowLifetime        time.Duration
	openingLimit               resident.OpeningLimit
	probesTarget               bool
}

const (
	// minHeartbeat is the shortest heartbeat interval that is accepted. It is longer than a pause of a busy VM, so that a wrong
	// setting cannot make targets appear to leave and return.
	minHeartbeat = 100 * time.Millisecond
	// minGrace leaves time for the last call to the store during shutdown.
	minGrace = time.Second
	// minFlowLifetime is longer than the time for which callers retransmit packets.
	minFlowLifetime = 5 * time.Second
)

func (o *opaqueOptions) define(fs *flag.FlagSet) {
	fs.StringVar(&o.store, "store", "", "`host:port` of the platform's metadata store")
	fs.StringVar(&o.service, "service", "", "`name` of the service that the target runs")
	settings.AddrPortVar(fs, &o.target, "target", "IPv4 `ip:port` at which the local target receives packets")
	settings.AddrPortVar(fs, &o.outbound, "outbound", "IPv4 `ip:port` that receives the packets of the target")
	settings.AddrPortVar(fs, &o.announce, "announce", "IPv4 `ip:port` that receives the heartbeats of the target")
	fs.DurationVar(&o.heartbeat, "heartbeat", time.Second, "interval of the target's heartbeats")
	fs.BoolVar(&o.probesTarget, "probe-target", false,
		"the target also listens for TCP connections at its address; a refused one ends its flows while a heartbeat is overdue")
	fs.DurationVar(&o.grace, "grace", defaultGrace, "`time` between the request to stop and the kill of the agent")
	fs.DurationVar(&o.flowLifetime, "flow-lifetime", flow.Lifetime, "age at which flows may be discarded")
	fs.Float64Var(&o.openingLimit.Excess, "warm-up-excess", 0,
		"`factor` of the rate of a cold target that its opening packets within a second may reach; 0 means no limit")
	fs.Float64Var(&o.openingLimit.Slack, "warm-up-slack", 0,
		"`number` of opening packets within a second that are allowed beyond warm-up-excess")
	settings.AddrPortVar(fs, &o.peer, "peer",
		"IPv4 `ip:port` whose port is the one at which balancers receive frames; the IP is not used")
}

func (o *opaqueOptions) check(common *settings.Common) error {
	if o.store == "" {
		return common.MissingError("store", "host:port")
	}
	if o.service == "" {
		return common.MissingError("service", "the name of a service")
	}
	if o.heartbeat < minHeartbeat {
		return common.MissingError("heartbeat", "at least "+minHeartbeat.String())
	}
	if o.grace < minGrace {
		return common.MissingError("grace", "at least "+minGrace.String())
	}
	if o.flowLifetime < minFlowLifetime {
		return common.MissingError("flow-lifetime", "at least "+minFlowLifetime.String())
	}
	if !isFactor(o.openingLimit.Excess) {
		return common.MissingError("warm-up-excess", "a number that is not negative")
	}
	if !isFactor(o.openingLimit.Slack) {
		return common.MissingError("warm-up-slack", "a number that is not negative")
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

// isFactor reports whether a setting is a finite number that is not negative.
func isFactor(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

func (o *opaqueOptions) newProcess(parts program.Dependencies) (program.Process, error) {
	s := sidecar.Settings{
		Data: parts.Common.Data, Outbound: o.outbound, Target: o.target, Announce: o.announce,
		PeerPort: o.peer.Port(), Service: o.service, Heartbeat: o.heartbeat,
		Grace: o.grace, FlowLifetime: o.flowLifetime, OpeningLimit: o.openingLimit, ProbesTarget: o.probesTarget,
	}
	return program.NewKeylessProcess(sidecar.New(s, sidecar.Dependencies{
		Codec:               platform.PacketCodec{},
		Store:               platform.NewStore(o.store, store.NewObserver(parts.Scope, parts.Log)),
		NewHeartbeatHandler: platform.HeartbeatHandler,
		Log:                 parts.Log, Scope: parts.Scope,
	}).Run), nil
}
