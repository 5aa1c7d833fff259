// Command gentian-balancer runs on each entry VM. It forwards callers' datagrams to the agents beside the targets.
package main

import (
	"flag"
	"fmt"
	"net/netip"
	"os"

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
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var common settings.Common
	var own balancer.Settings
	var bindIP, detection, placement string
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	common.Define(fs)
	fs.StringVar(&own.Store, "store", "", "`host:port` of the platform's key-value service")
	fs.StringVar(&bindIP, "bind-ip", "", "local `IP` to bind in place of routes' addresses, for fabrics that rewrite the destination")
	settings.AddrPortsVar(fs, &own.Peers, "peers", "control addresses of balancers from which this one learns the others")
	fs.StringVar(&detection, "detection", member.Conservative.String(),
		"when a target or a balancer has failed: conservative (none of its observers hears it) or aggressive (one does not)")
	fs.StringVar(&placement, "placement", route.Slots{}.Name(), "how a target is chosen for a new flow: slots or rendezvous")
	settings.PrefixesVar(fs, &own.Networks, "agent-networks", "networks in which agents live; empty allows every address")
	err := settings.Parse(fs, args, name+" --settings examples/sierra/balancer-quito.yaml", os.Stderr)
	if err != nil {
		return program.ReportUsage(name, err)
	}
	if common.IsVersion {
		fmt.Println(name, program.Version)
		return program.ExitOK
	}
	if err := common.Check(); err != nil {
		return program.ReportUsage(name, err)
	}
	if own.Store == "" {
		return program.ReportUsage(name, common.Missing("store", "host:port"))
	}
	if own.Detection, err = member.DetectionByName(detection); err != nil {
		return program.ReportUsage(name, err)
	}
	if bindIP != "" {
		if own.BindIP, err = netip.ParseAddr(bindIP); err != nil {
			return program.ReportUsage(name, err)
		}
	}
	if own.Placement, err = route.StrategyByName(placement); err != nil {
		return program.ReportUsage(name, err)
	}
	return start(&common, own)
}

func start(common *settings.Common, own balancer.Settings) int {
	own.Zone, own.Data, own.Control = common.Zone, common.Data, common.Control
	log, set, credentials, err := program.Prepare(common)
	if err != nil {
		return program.ReportUsage(name, err)
	}
	if common.IsCheckOnly {
		fmt.Println("settings are valid")
		return program.ExitOK
	}
	stats := metrics.New(metrics.Balancer)
	b, err := balancer.New(own, set, credentials, store.NewHTTP(own.Store), log, stats)
	if err != nil {
		return program.ReportUsage(name, err)
	}
	graceful, _ := program.Stopping()
	program.ReloadKeysOnHangup(graceful, common, b, log)
	go func() { _ = stats.Serve(graceful, common.Metrics) }()
	program.Begin(log, name, common)
	return program.Finish(log, b.Run(graceful))
}
