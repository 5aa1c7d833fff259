// Command gentian-agent runs beside each target. It ends callers' connections and gives requests to the target.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/admit"
	"gentianswitch/internal/agent"
	"gentianswitch/internal/metrics"
	"gentianswitch/internal/program"
	"gentianswitch/internal/settings"
)

const name = "gentian-agent"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var common settings.Common
	var own agent.Settings
	var service uint
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	common.Define(fs)
	fs.StringVar(&own.Target, "target", "", "`host:port` at which the local target accepts HTTP/1.1")
	fs.UintVar(&service, "service", 0, "`number` of the service that the target runs, 1 to 65535")
	fs.IntVar(&own.Slots, "slots", 0, "`number` of requests that the target runs at once")
	fs.IntVar(&own.Connections, "connections", 2000, "`number` of flows that the agent accepts")
	settings.AddrPortsVar(fs, &own.Balancers, "balancers", "control addresses of the balancers")
	definePolicy(fs, &own)
	err := settings.Parse(fs, args, name+" --settings examples/sierra/agent-requests-1.yaml", os.Stderr)
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
	if err := checkTarget(&common, own, service); err != nil {
		return program.ReportUsage(name, err)
	}
	own.Service = uint16(service)
	return start(&common, own)
}

// checkTarget reports the first setting of the target that is missing or out of range.
func checkTarget(common *settings.Common, own agent.Settings, service uint) error {
	switch {
	case own.Target == "":
		return common.Missing("target", "host:port")
	case len(own.Balancers) == 0:
		return common.Missing("balancers", "the control addresses of balancers")
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

func start(common *settings.Common, own agent.Settings) int {
	own.Zone, own.Data, own.Control = common.Zone, common.Data, common.Control
	log, set, credentials, err := program.Prepare(common)
	if err != nil {
		return program.ReportUsage(name, err)
	}
	if common.IsCheckOnly {
		fmt.Println("settings are valid")
		return program.ExitOK
	}
	stats := metrics.New(metrics.Agent)
	a, err := agent.New(own, set, credentials, log, stats, time.Now())
	if err != nil {
		return program.ReportUsage(name, err)
	}
	// The library would log a line of its own, since it sees no kernel socket behind the envelopes.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	graceful, force := program.Stopping()
	program.ReloadKeysOnHangup(graceful, common, a, log)
	go func() { _ = stats.Serve(force, common.Metrics) }()
	program.Begin(log, name, common)
	return program.Finish(log, a.Run(graceful, force))
}
