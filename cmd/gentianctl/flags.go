package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/peterbourgon/ff/v3/ffyaml"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/operator"
	"gentianswitch/internal/settings"
	"gentianswitch/internal/store"
)

const defaultTimeout = 10 * time.Second

// errUsage marks errors in arguments and settings. They lead to operator.ExitUsage.
var errUsage = eris.New("usage")

// exitCodeError carries the exit code of a command to main after the command has written its report.
type exitCodeError operator.ExitCode

// Error implements error.
func (e exitCodeError) Error() string {
	return "exit"
}

// commandFlags are the flags that all commands have. Each command adds its own flags to set.
type commandFlags struct {
	set       *flag.FlagSet
	store     string
	balancers []netip.AddrPort
	files     control.Files
	output    string
	timeout   time.Duration
	// isCheckOnly makes the command validate the settings and exit.
	isCheckOnly bool
}

func newCommandFlags(command string) *commandFlags {
	f := &commandFlags{set: flag.NewFlagSet(name+" "+command, flag.ContinueOnError)}
	f.set.StringVar(&f.store, "store", "", "`host:port` of the platform's key-value service")
	settings.AddrPortsVar(f.set, &f.balancers, "balancers",
		"control addresses of balancers; a few of each availability zone are enough")
	f.set.StringVar(&f.files.Certificate, "certificate", "", "PEM `file` with the operator's certificate")
	f.set.StringVar(&f.files.Key, "certificate-key", "", "PEM `file` with the private key of the certificate")
	f.set.StringVar(&f.files.Authority, "authority", "", "PEM `file` with the authority of all certificates")
	f.set.StringVar(&f.output, "o", operator.FormatText, "`format` of the output: text or json")
	f.set.DurationVar(&f.timeout, "timeout", defaultTimeout, "time limit of the command")
	f.set.BoolVar(&f.isCheckOnly, "check", false, "validate the settings and exit")
	f.set.String("settings", "", "YAML `file` with settings; its fields have the names of the flags")
	return f
}

// command returns a subcommand whose flags are read from the arguments, the environment and the settings file.
func (f *commandFlags) command(
	command, usage, short, example string, exec func(context.Context, []string) error,
) *ffcli.Command {
	return &ffcli.Command{
		Name: command, ShortUsage: name + " " + command + " " + usage, ShortHelp: short, FlagSet: f.set,
		LongHelp: "Example:\n  " + example,
		Options: []ff.Option{
			ff.WithEnvVarPrefix("GENTIAN"), ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ffyaml.Parser),
		},
		Exec: func(ctx context.Context, args []string) error {
			if f.output != operator.FormatText && f.output != operator.FormatJSON {
				return eris.Wrapf(errUsage, "-o %q, expected text or json", f.output)
			}
			if f.isCheckOnly {
				return f.checkSettings()
			}
			return exec(ctx, args)
		},
	}
}

// checkSettings validates the settings for connections to the store and the balancers.
func (f *commandFlags) checkSettings() error {
	if _, err := f.newOperator(true, true); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// newOperator returns an operator for the store and the balancers of the settings. It reports only missing settings that
// the command needs.
func (f *commandFlags) newOperator(needsStore, needsBalancers bool) (*operator.Operator, error) {
	if needsStore && f.store == "" {
		return nil, eris.Wrap(errUsage, "setting store: missing, expected host:port")
	}
	if !needsBalancers {
		return operator.New(store.NewHTTP(f.store), nil, nil), nil
	}
	if len(f.balancers) == 0 {
		return nil, eris.Wrap(errUsage, "setting balancers: missing, expected at least one control address")
	}
	credentials, err := control.LoadCredentials(f.files)
	if err != nil {
		return nil, eris.Wrapf(errUsage, "%v", err)
	}
	return operator.New(store.NewHTTP(f.store), f.balancers, credentials), nil
}

// reportCommand returns the function of a command that only reads the store and writes the report that read returns.
func (f *commandFlags) reportCommand(
	read func(ctx context.Context, o *operator.Operator) (operator.Report, error),
) func(context.Context, []string) error {
	return func(ctx context.Context, _ []string) error {
		o, err := f.newOperator(true, false)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, f.timeout)
		defer cancel()
		report, err := read(ctx, o)
		if err != nil {
			return err
		}
		return f.writeReport(report, operator.ExitOK)
	}
}

// writeReport writes the report to standard output. It returns an exitCodeError unless the code is ExitOK.
func (f *commandFlags) writeReport(report operator.Report, code operator.ExitCode) error {
	if err := operator.Write(os.Stdout, f.output, report); err != nil {
		return err
	}
	if code != operator.ExitOK {
		return exitCodeError(code)
	}
	return nil
}
