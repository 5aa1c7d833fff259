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

	"gentianswitch/internal/control"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/settings"
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

// Reloader is a process whose keys can be replaced.
type Reloader interface {
	SetKeys(set *keys.Set) error
}

// ReloadKeysOnHangup reads the key file again on each SIGHUP until ctx ends. Keys that do not load change nothing.
func ReloadKeysOnHangup(ctx context.Context, c *settings.Common, process Reloader, log *events.Logger) {
	OnHangup(ctx, func() {
		set, err := keys.Load(c.KeysFile)
		if err == nil {
			err = process.SetKeys(set)
		}
		if err != nil {
			log.Emit(events.KeysRefused, events.Err(err))
			return
		}
		log.Emit(events.KeysLoaded, events.F("current", set.Current().ID))
	})
}

// Finish logs the end of a process and returns its exit code.
func Finish(log *events.Logger, err error) int {
	log.Emit(events.ProcessStopped, events.Err(err))
	if err != nil {
		return ExitFailed
	}
	return ExitOK
}

// Begin logs the start of a process.
func Begin(log *events.Logger, name string, c *settings.Common) {
	log.Emit(events.ProcessStarted, events.F("program", name), events.F("version", Version), events.F("zone", c.Zone))
}

// Prepare loads what the common settings name: the logger, the keys and the certificates.
func Prepare(c *settings.Common) (*events.Logger, *keys.Set, *control.Credentials, error) {
	log, err := events.NewLogger(os.Stderr, c.LogFormat, c.LogLevel)
	if err != nil {
		return nil, nil, nil, err
	}
	set, credentials, err := c.Secrets()
	return log, set, credentials, err
}
