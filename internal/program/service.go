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
	// Run serves until graceful ends and the work in progress has ended, or until force ends.
	Run(graceful, force context.Context) error
}

// keyless is a process that has no keys and whose stop is never forced.
type keyless func(graceful context.Context) error

// Keyless returns a process that runs until graceful ends, has no keys, and whose stop is never forced.
func Keyless(run func(graceful context.Context) error) Process { return keyless(run) }

// SetKeys implements Process.
func (keyless) SetKeys(*keys.Set) error { return nil }

// Run implements Process.
func (k keyless) Run(graceful, _ context.Context) error { return k(graceful) }

// Parts are what the common settings of a process name.
type Parts struct {
	Common      *settings.Common
	Keys        *keys.Set
	Credentials *control.Credentials
	Log         *events.Logger
	Scope       tally.Scope

	lines *events.Queue
}

// Service describes a program that runs one process.
type Service struct {
	Name string
	// Example is a command line for the help.
	Example string
	// MetricsPrefix starts the names of the metrics.
	MetricsPrefix string
	// Define adds the program's own settings to the flag set.
	Define func(fs *flag.FlagSet)
	// Check reports the first of the program's own settings that is missing or out of range.
	Check func(common *settings.Common) error
	// New returns the process, which does not run yet.
	New func(parts Parts) (Process, error)
	// WithoutPeers is set for a program that has no authenticated connections to peers: it needs no keys and
	// certificates, and Parts hold none.
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
	if common.IsVersion {
		fmt.Println(s.Name, Version)
		return ExitOK
	}
	parts, err := s.prepare(&common)
	if err != nil {
		return ReportUsage(s.Name, err)
	}
	if common.IsCheckOnly {
		fmt.Println("settings are valid")
		return ExitOK
	}
	return s.run(parts)
}

// prepare checks the settings and loads the files that they name.
func (s Service) prepare(common *settings.Common) (Parts, error) {
	if err := common.Check(); err != nil {
		return Parts{}, err
	}
	if err := s.Check(common); err != nil {
		return Parts{}, err
	}
	lines := events.NewQueue(os.Stdout)
	log, err := events.NewLogger(lines, common.LogFormat, common.LogLevel)
	parts := Parts{Common: common, Log: log, lines: lines}
	if err != nil || s.WithoutPeers {
		return parts, err
	}
	parts.Keys, parts.Credentials, err = common.Secrets()
	return parts, err
}

func (s Service) run(parts Parts) int {
	stats := metrics.New(s.MetricsPrefix)
	parts.Scope = stats
	process, err := s.New(parts)
	if err != nil {
		return ReportUsage(s.Name, err)
	}
	graceful, force := Stopping()
	ended, end := context.WithCancel(force)
	defer end()
	OnHangup(ended, func() { s.reload(parts, process) })
	go func() {
		if err := stats.Serve(ended, parts.Common.Metrics); err != nil {
			parts.Log.Emit(events.MetricsFailed, events.Err(err))
		}
	}()
	parts.Log.Emit(events.ProcessStarted, events.F("program", s.Name), events.F("version", Version),
		events.F("zone", parts.Common.Zone))
	go parts.reportDropped(ended)
	err = process.Run(graceful, force)
	parts.Log.Emit(events.ProcessStopped, events.Err(err))
	parts.lines.Close()
	if err != nil {
		return ExitFailed
	}
	return ExitOK
}

// droppedInterval is the time between two reports of log lines that were left out.
const droppedInterval = time.Second

// reportDropped tells of log lines that were left out, until ctx ends.
func (p Parts) reportDropped(ctx context.Context) {
	counter := p.Scope.Counter("log_lines_dropped")
	duty.Every(ctx, droppedInterval, func(time.Time) {
		if dropped := p.lines.TakeDropped(); dropped > 0 {
			counter.Inc(int64(dropped))
			p.Log.Emit(events.LogLinesDropped, events.F("lines", dropped))
		}
	})
}

// reload takes a SIGHUP. A process without keys has nothing to read again: its settings name its place on the VM.
func (s Service) reload(parts Parts, process Process) {
	if s.WithoutPeers {
		parts.Log.Emit(events.SettingsReloaded, events.Err(nil))
		return
	}
	reloadKeys(parts, process)
}

// reloadKeys reads the key file again. Keys that do not load change nothing.
func reloadKeys(parts Parts, process Process) {
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
