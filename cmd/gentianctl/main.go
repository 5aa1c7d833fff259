// Command gentianctl is the operators' command-line tool. It manages the tables of routes and pools, shows the state of a
// deployment, drains targets and merges logs.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/operator"
	"gentianswitch/internal/program"
)

const name = "gentianctl"

const helpText = `Operators keep the tables of routes and pools in version control and apply them with this command.

  gentianctl validate --file tables.yaml
  gentianctl plan --settings gentianctl.yaml --file tables.yaml
  gentianctl apply --settings gentianctl.yaml --file tables.yaml --base 17 --wait

Every flag is also an environment variable (GENTIAN_ and the name in capitals) and a field of the settings file.

Exit codes:
  0  done
  1  failed; a change was not accepted and never takes effect
  2  arguments, settings or tables are invalid; nothing was done
  3  the outcome of a change is not known; repeat it with the same --change-id
  4  refused; the change conflicts with another one and never takes effect
  5  started, but not complete within the timeout`

func main() {
	graceful, _ := program.ShutdownContexts()
	os.Exit(run(graceful, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	rootFlags := flag.NewFlagSet(name, flag.ContinueOnError)
	isVersion := rootFlags.Bool("version", false, "print the version and exit")
	root := &ffcli.Command{
		Name:       name,
		ShortUsage: name + " <command> [flags]",
		LongHelp:   helpText,
		FlagSet:    rootFlags,
		Subcommands: []*ffcli.Command{
			validateCommand(), planCommand(), applyCommand(), getCommand(), historyCommand(), statusCommand(),
			drainCommand(), undrainCommand(), trailCommand(),
		},
		Exec: func(context.Context, []string) error {
			if !*isVersion {
				return flag.ErrHelp
			}
			fmt.Println(name, program.Version)
			return nil
		},
	}
	if err := root.Parse(args); err != nil {
		return program.ReportUsage(name, err)
	}
	err := root.Run(ctx)
	var code exitCodeError
	switch {
	case err == nil:
		return int(operator.ExitOK)
	case eris.As(err, &code):
		return int(code)
	case eris.Is(err, flag.ErrHelp):
		return int(operator.ExitUsage)
	case eris.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return int(operator.ExitUsage)
	default:
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return int(operator.ExitFailed)
	}
}
