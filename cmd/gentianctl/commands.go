package main

import (
	"context"
	"net/netip"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/control"
	"gentianswitch/internal/operator"
	"gentianswitch/internal/tables"
)

// baseNewest is the value of --base that means the newest revision.
const baseNewest = -1

const defaultHistoryLimit = 20

// fileFlag defines the flag --file.
func (f *commandFlags) fileFlag() *string {
	return f.set.String("file", "", "YAML `file` with the tables")
}

// readTables reads and validates a file with tables. If the file has problems, readTables writes the report that lists them
// and returns an exitCodeError.
func (f *commandFlags) readTables(file string) (*tables.Tables, *operator.ValidationReport, error) {
	if file == "" {
		return nil, nil, eris.Wrap(errUsage, "flag file: missing, expected a file with tables")
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrapf(errUsage, "read tables: %v", err)
	}
	parsed, report, code := operator.Validate(file, raw)
	if code != operator.ExitOK {
		return nil, nil, f.writeReport(report, code)
	}
	return parsed, report, nil
}

func validateCommand() *ffcli.Command {
	f := newCommandFlags("validate")
	file := f.fileFlag()
	return f.command("validate", "--file FILE", "check a file with tables and list every problem",
		"gentianctl validate --file examples/sierra/tables.yaml",
		func(context.Context, []string) error {
			_, report, err := f.readTables(*file)
			if err != nil {
				return err
			}
			return f.writeReport(report, operator.ExitOK)
		})
}

func planCommand() *ffcli.Command {
	f := newCommandFlags("plan")
	file := f.fileFlag()
	return f.command("plan", "--file FILE", "show the rows that a change would add, change and delete",
		"gentianctl plan --store 10.0.0.5:4390 --file examples/sierra/tables.yaml",
		func(ctx context.Context, _ []string) error {
			desired, _, err := f.readTables(*file)
			if err != nil {
				return err
			}
			o, err := f.newOperator(true, false)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			report, err := o.Plan(ctx, *file, desired)
			if err != nil {
				return err
			}
			return f.writeReport(report, operator.ExitOK)
		})
}

func applyCommand() *ffcli.Command {
	f := newCommandFlags("apply")
	var options operator.ApplyOptions
	f.set.StringVar(&options.File, "file", "", "YAML `file` with the tables")
	f.set.StringVar(&options.ChangeID, "change-id", "",
		"`identifier` of the change; pass the same one to retry a change (default: a new one)")
	f.set.StringVar(&options.Author, "author", os.Getenv("USER"), "`name` of the author, shown in the history")
	f.set.BoolVar(&options.MustWaitForAll, "wait", false, "wait until every balancer has applied the change")
	f.set.BoolVar(&options.IsStoreOnly, "store-only", false,
		"do not contact balancers; for the first change, before any balancer runs")
	base := f.set.Int64("base", baseNewest, "`number` of the revision that the change was planned against (default: the newest)")
	return f.command("apply", "--file FILE [--base NUMBER] [--wait]", "apply tables as a change",
		"gentianctl apply --settings gentianctl.yaml --file tables.yaml --base 17 --wait",
		func(ctx context.Context, _ []string) error {
			desired, _, err := f.readTables(options.File)
			if err != nil {
				return err
			}
			o, err := f.newOperator(true, !options.IsStoreOnly)
			if err != nil {
				return err
			}
			if *base != baseNewest {
				number := uint64(*base)
				options.Base = &number
			}
			options.Timeout = f.timeout
			return f.writeReport(o.Apply(ctx, desired, options))
		})
}

func getCommand() *ffcli.Command {
	f := newCommandFlags("get")
	return f.command("get", "", "print the tables of the newest revision",
		"gentianctl get --store 10.0.0.5:4390 > tables.yaml",
		f.reportCommand(func(ctx context.Context, o *operator.Operator) (operator.Report, error) { return o.Get(ctx) }))
}

func historyCommand() *ffcli.Command {
	f := newCommandFlags("history")
	limit := f.set.Int("limit", defaultHistoryLimit, "`number` of changes to show")
	return f.command("history", "[--limit NUMBER]", "list the most recently accepted changes, newest first",
		"gentianctl history --store 10.0.0.5:4390 --limit 5",
		f.reportCommand(func(ctx context.Context, o *operator.Operator) (operator.Report, error) {
			return o.History(ctx, *limit)
		}))
}

func statusCommand() *ffcli.Command {
	f := newCommandFlags("status")
	isEveryAgentQueried := f.set.Bool("flows", false, "query every agent for its flows, not only those that are draining")
	return f.command("status", "[--flows]",
		"show balancers with their applied revisions, and targets with the work left on draining ones",
		"gentianctl status --settings gentianctl.yaml -o json",
		func(ctx context.Context, _ []string) error {
			o, err := f.newOperator(true, true)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			return f.writeReport(o.Status(ctx, *isEveryAgentQueried))
		})
}

func drainCommand() *ffcli.Command {
	f := newCommandFlags("drain")
	isForced := f.set.Bool("force", false, "abort the work in progress and shut the agent down")
	mustWait := f.set.Bool("wait", false, "wait until no work is left")
	return f.command("drain", "[--wait] [--force] TARGET",
		"give a target no new work and shut its agent down when no work is left",
		"gentianctl drain --settings gentianctl.yaml --wait 10.0.1.7:4400",
		func(ctx context.Context, args []string) error {
			action := control.DrainStart
			if *isForced {
				action = control.DrainForce
			}
			return f.drain(ctx, args, action, *mustWait)
		})
}

func undrainCommand() *ffcli.Command {
	f := newCommandFlags("undrain")
	return f.command("undrain", "TARGET", "let a draining target accept new work again",
		"gentianctl undrain --settings gentianctl.yaml 10.0.1.7:4400",
		func(ctx context.Context, args []string) error {
			return f.drain(ctx, args, control.DrainUndo, false)
		})
}

// drain sends the action to the agent of the target that args name and writes the report.
func (f *commandFlags) drain(ctx context.Context, args []string, action control.DrainAction, mustWait bool) error {
	if len(args) != 1 {
		return eris.Wrap(errUsage, "expected one target, the address of its agent such as 10.0.1.7:4400")
	}
	target, err := netip.ParseAddrPort(args[0])
	if err != nil {
		return eris.Wrapf(errUsage, "target %q, expected the address of an agent such as 10.0.1.7:4400", args[0])
	}
	o, err := f.newOperator(false, true)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.writeReport(o.Drain(ctx, target, action, mustWait))
}
