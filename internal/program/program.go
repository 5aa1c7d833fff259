// Package program implements the common parts of all programs: exit codes, signal handling, the version, and the startup of
// a process.
package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Version is the version that --version prints.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailed means that the program failed while it ran.
	ExitFailed = 1
	// ExitUsage means that settings, arguments or tables are invalid and that nothing was done.
	ExitUsage = 2
)

// ReportUsage prints an error in the settings or arguments and returns its exit code. For a request for help it returns
// ExitOK.
func ReportUsage(name string, err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return ExitUsage
}

// ShutdownContexts returns the contexts of a shutdown. The first SIGTERM or SIGINT cancels graceful, the second cancels force.
func ShutdownContexts() (graceful, force context.Context) {
	graceful, cancelGraceful := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelGraceful()
		<-signals
		cancelForce()
	}()
	return graceful, force
}

// OnHangup calls reload for each SIGHUP until ctx ends.
func OnHangup(ctx context.Context, reload func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				reload()
			}
		}
	}()
}
