package main

import (
	"flag"
	"net/netip"
	"time"

	"gentianswitch/internal/metrics"
	"gentianswitch/internal/opaque/forwarder"
	"gentianswitch/internal/program"
	"gentianswitch/internal/settings"
	"gentianswitch/internal/store"
	"gentianswitch/platform"
)

// opaqueCommand is the subcommand that runs a balancer for opaque flows on the users' platform.
const opaqueCommand = "opaque"

// defaultLinger is longer than routers take to notice that a balancer is not ready: two checks, 500 ms apart.
const defaultLinger = 1500 * time.Millisecond

func opaqueService() program.Service {
	var o opaqueOptions
	return program.Service{
		Name: name, Example: name + " " + opaqueCommand + " --settings balancer.yaml",
		MetricsPrefix: metrics.Balancer, Define: o.define, Check: o.check, New: o.newProcess, WithoutPeers: true,
	}
}

// opaqueOptions are the flags of the subcommand.
type opaqueOptions struct {
	store       string
	peer, ready netip.AddrPort
	seeds       []netip.AddrPort
	linger      time.Duration
}

func (o *opaqueOptions) define(fs *flag.FlagSet) {
	fs.StringVar(&o.store, "store", "", "`host:port` of the platform's metadata store")
	settings.AddrPortVar(fs, &o.peer, "peer", "IPv4 `ip:port` that receives frames of agents")
	settings.AddrPortVar(fs, &o.ready, "ready", "IPv4 `ip:port` at which routers check whether the balancer is ready")
	settings.AddrPortsVar(fs, &o.seeds, "seeds",
		"addresses of balancers to query while the store cannot be read; their ports are not used")
	fs.DurationVar(&o.linger, "linger", defaultLinger, "`time` for which a balancer that shuts down continues to forward")
}

func (o *opaqueOptions) check(common *settings.Common) error {
	switch {
	case o.store == "":
		return common.MissingError("store", "host:port")
	case !o.peer.IsValid():
		return common.MissingError("peer", "ip:port")
	case !o.ready.IsValid():
		return common.MissingError("ready", "ip:port")
	default:
		return nil
	}
}

func (o *opaqueOptions) newProcess(parts program.Dependencies) (program.Process, error) {
	s := forwarder.Settings{
		Zone: parts.Common.Zone, Data: parts.Common.Data, Peer: o.peer, Ready: o.ready, Seeds: o.seeds, Linger: o.linger,
	}
	return program.NewKeylessProcess(forwarder.New(s, forwarder.Dependencies{
		Codec:         platform.PacketCodec{},
		Store:         platform.NewStore(o.store, store.NewObserver(parts.Scope, parts.Log)),
		Configuration: platform.Configuration(),
		ReadyHandler:  platform.ReadyHandler,
		Log:           parts.Log, Scope: parts.Scope,
	}).Run), nil
}
