package program

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/uber-go/tally/v4"

	"gentianswitch/internal/control"
	"gentianswitch/internal/duty"
	"gentianswitch/internal/events"
	"gentianswitch/internal/keys"
	"gentianswitch/internal/metrics"
	"gentianswitch/internal/settings"
)

// Process is a balancer or an agent.
type Process interface {
	// SetKeys replaces the keys of connection IDs and envelopes.
	SetKeys(set *keys.Set) error
	// Run serves until graceful is canceled and the work in progress is done, or until force is canceled.
	Run(graceful, force context.Context) error
}

// keylessProcess is a process without keys that ignores forced shutdowns.
type keylessProcess func(graceful context.Context) error

// NewKeylessProcess returns a process without keys that runs until graceful is canceled and ignores forced shutdowns.
func NewKeylessProcess(run func(graceful context.Context) error) Process { return keylessProcess(run) }

// SetKeys implements Process.
func (keylessProcess) SetKeys(*keys.Set) error { return nil }

// Run implements Process.
func (k keylessProcess) Run(graceful, _ context.Context) error { return k(graceful) }

// Dependencies holds the components that a process is built from, as its common settings configure them.
type Dependencies struct {
	Common      *settings.Common
	Keys        *keys.Set
	Credentials *control.Credentials
	Log         *events.Logger
	Scope       tally.Scope

	logQueue *events.Queue
}

// Service describes a program that runs one process, a balancer or an agent.
type Service struct {
	Name string
	// Example is the command line that the help shows.
	Example string
	// MetricsPrefix is the prefix of the names of the metrics.
	MetricsPrefix string
	// Define defines the flags of the program's own settings.
	Define func(fs *flag.FlagSet)
	// Check returns an error for the first of the program's own settings that is missing or out of range.
	Check func(common *settings.Common) error
	// New returns the process without starting it.
	New func(parts Dependencies) (Process, error)
	// WithoutPeers is set for a program that has no authenticated connections to peers. It needs no keys and certificates;
	// Keys and Credentials are nil.
	WithoutPeers bool
}

// Main reads the settings, runs the process and returns the exit code.
func (s Service) Main(args []string) int {
	common := settings.Common{WithoutPeers: s.WithoutPeers}
	fs := flag.NewFlagSet(s.Name, flag.ContinueOnError)
	common.Define(fs)
	s.Define(fs)
	if err := settings.Parse(fs, args, s.Example, os.Stderr); err != nil {
		return ReportUsage(s.Name, err)
	}
	if common.IsVersionOnly {
		fmt.Println(s.Name, Version)
		return ExitOK
	}
	parts, err := s.loadParts(&common)
	if err != nil {
		return ReportUsage(s.Name, err)
	}
	if common.IsCheckOnly {
		fmt.Println("settings are valid")
		return ExitOK
	}
	return s.runProcess(parts)
}

// loadParts checks the settings, opens the log and loads the keys and certificates.
func (s Service) loadParts(common *settings.Common) (Dependencies, error) {
	if err := common.Check(); err != nil {
		return Dependencies{}, err
	}
	if err := s.Check(common); err != nil {
		return Dependencies{}, err
	}
	logQueue := events.NewQueue(os.Stdout)
	log, err := events.NewLogger(logQueue, common.LogFormat, common.LogLevel)
	parts := Dependencies{Common: common, Log: log, logQueue: logQueue}
	if err != nil || s.WithoutPeers {
		return parts, err
	}
	parts.Keys, parts.Credentials, err = common.LoadSecrets()
	return parts, err
}

// runProcess runs the process until it stops by a signal or an error, and returns the exit code.
func (s Service) runProcess(parts Dependencies) int {
	stats := metrics.New(s.MetricsPrefix)
	parts.Scope = stats
	process, err := s.New(parts)
	if err != nil {
		return ReportUsage(s.Name, err)
	}
	graceful, force := ShutdownContexts()
	running, stop := context.WithCancel(force)
	defer stop()
	OnHangup(running, func() { s.handleHangup(parts, process) })
	go func() {
		if err := stats.Serve(running, parts.Common.Metrics); err != nil {
			parts.Log.Emit(events.MetricsFailed, events.Err(err))
		}
	}()
	parts.Log.Emit(events.ProcessStarted, events.F("program", s.Name), events.F("version", Version),
		events.F("zone", parts.Common.Zone))
	go parts.reportDroppedLines(running)
	err = process.Run(graceful, force)
	parts.Log.Emit(events.ProcessStopped, events.Err(err))
	parts.logQueue.Close()
	if err != nil {
		return ExitFailed
	}
	return ExitOK
}

// droppedLinesInterval is the interval between two reports of dropped log lines.
const droppedLinesInterval = time.Second

// reportDroppedLines counts and logs dropped log lines until ctx ends.
func (p Dependencies) reportDroppedLines(ctx context.Context) {
	counter := p.Scope.Counter("log_lines_dropped")
	duty.Every(ctx, droppedLinesInterval, func(time.Time) {
		if dropped := p.logQueue.ResetDropped(); dropped > 0 {
			counter.Inc(int64(dropped))
			p.Log.Emit(events.LogLinesDropped, events.F("lines", dropped))
		}
	})
}

// handleHangup handles a SIGHUP by reloading the keys. A process without keys has nothing to reload: its settings only say
// where it runs on the VM, and are read at its start.
func (s Service) handleHangup(parts Dependencies, process Process) {
	if s.WithoutPeers {
		parts.Log.Emit(events.SettingsReloaded, events.Err(nil))
		return
	}
	reloadKeys(parts, process)
}

// reloadKeys reads the key file again. If that fails, the current keys stay in use.
func reloadKeys(parts Dependencies, process Process) {
	set, err := keys.Load(parts.Common.KeysFile)
	if err == nil {
		err = process.SetKeys(set)
	}
	if err != nil {
		parts.Log.Emit(events.KeysRefused, events.Err(err))
		return
	}
	parts.Log.Emit(events.KeysLoaded, events.F("current", set.Current().ID))
}
