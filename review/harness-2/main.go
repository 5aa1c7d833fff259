//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration is how long a case may run.
const maxDuration = 115 * time.Second

// hasTrouble reports whether the case is run with its disruption.
var hasTrouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(d *deployment){
	"late-heartbeats":   lateHeartbeats,
	"route-added-again": routeAddedAgain,
	"old-flow":          oldFlow,
	"port-used-again":   portUsedAgain,
	"idle-flow":         idleFlow,
	"foreign-entry":     foreignEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		os.Exit(2)
	}
	d := newDeployment(os.Args[2])
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		d.must(fmt.Errorf("ended after %.0f s", time.Since(d.started).Seconds()))
	}()
	d.log("case %s, with the disruption: %t", os.Args[1], hasTrouble)
	cases[os.Args[1]](d)
	d.finish()
}
