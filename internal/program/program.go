// Package program implements what the mains of all programs share: exit codes, signals and the version.
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
	// ExitFailed means that the work failed.
	ExitFailed = 1
	// ExitUsage means that settings, arguments or tables are invalid; nothing was done.
	ExitUsage = 2
)

// ReportUsage prints an error of the settings and returns the exit code for it. It returns ExitOK for a request for
// help.
func ReportUsage(name string, err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return ExitUsage
}

// Stopping returns a context that ends with the first SIGTERM or SIGINT and one that ends with the second.
func Stopping() (graceful, force context.Context) {
	graceful, stop := context.WithCancel(context.Background())
	force, cut := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		cut()
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
