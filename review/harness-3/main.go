//go:build review

// Command harness-3 runs the scripted cases of the third review: real balancers and agents as separate processes, beside stand-ins of
// the store, the servers, the routers and the clients. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// result is the outcome of a case.
type result struct {
	// broken has one line for each breach of the rule.
	broken []string
	// shown is what else the case has seen.
	shown string
}

// testCase runs a case. isTroubled is false for the run without the disruption.
type testCase func(d *deployment, isTroubled bool) (result, error)

var cases = map[string]testCase{
	"idle-limit":          runIdleLimit,
	"entry-service":       runEntryService,
	"heartbeat-successor": runHeartbeatSuccessor,
	"heartbeat-sequence":  runHeartbeatSequence,
	"restored-quiet":      runRestoredQuiet,
	"late-heartbeats":     runLateHeartbeats,
	"front-cut":           runFrontCut,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.file.Close() }()
	isTroubled := os.Getenv("TROUBLE") != "0"
	record.line("case %s, with the disruption: %v", os.Args[1], isTroubled)
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(exitNotRun)
	}()
	outcome, err := cases[os.Args[1]](d, isTroubled)
	if err != nil {
		record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record.line("%s", outcome.shown)
	for _, line := range outcome.broken {
		record.line("BROKEN: %s", line)
	}
	fmt.Printf("%s; breaches: %d\n", outcome.shown, len(outcome.broken))
	if len(outcome.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
