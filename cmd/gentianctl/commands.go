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

// noBase is the value of --base that stands for the newest revision.
const noBase = -1

const defaultHistory = 20

func (f *flags) fileVar() *string {
	return f.set.String("file", "", "YAML `file` with the tables")
}

// readTables returns the checked tables of a file. It reports the problems when there are some.
func (f *flags) readTables(file string) (*tables.Tables, *operator.ValidationReport, error) {
	if file == "" {
		return nil, nil, eris.Wrap(errUsage, "flag file: missing, expected a file with tables")
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, eris.Wrapf(errUsage, "read tables: %v", err)
	}
	parsed, report, code := operator.Validate(file, raw)
	if code != operator.ExitDone {
		return nil, nil, f.finish(report, code)
	}
	return parsed, report, nil
}

func validateCommand() *ffcli.Command {
	f := newFlags("validate")
	file := f.fileVar()
	return f.command("validate", "--file FILE", "check a file with tables and list every problem",
		"gentianctl validate --file examples/sierra/tables.yaml",
		func(context.Context, []string) error {
			_, report, err := f.readTables(*file)
			if err != nil {
				return err
			}
			return f.finish(report, operator.ExitDone)
		})
}

func planCommand() *ffcli.Command {
	f := newFlags("plan")
	file := f.fileVar()
	return f.command("plan", "--file FILE", "show the rows that a change would put and delete",
		"gentianctl plan --store 10.0.0.5:4390 --file examples/sierra/tables.yaml",
		func(ctx context.Context, _ []string) error {
			desired, _, err := f.readTables(*file)
			if err != nil {
				return err
			}
			o, err := f.operator(true, false)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			report, err := o.Plan(ctx, *file, desired)
			if err != nil {
				return err
			}
			return f.finish(report, operator.ExitDone)
		})
}

func applyCommand() *ffcli.Command {
	f := newFlags("apply")
	var options operator.ApplyOptions
	f.set.StringVar(&options.File, "file", "", "YAML `file` with the tables")
	f.set.StringVar(&options.ChangeID, "change-id", "", "`identifier` of the change; repeat it to ask again (default: a new one)")
	f.set.StringVar(&options.Author, "author", os.Getenv("USER"), "`name` for the history")
	f.set.BoolVar(&options.MustWaitForAll, "wait", false, "wait until every balancer given has the change in force")
	f.set.BoolVar(&options.IsStoreOnly, "store-only", false, "do not ask balancers: for the first change, before one runs")
	base := f.set.Int64("base", noBase, "`number` of the revision that the change was planned against (default: the newest)")
	return f.command("apply", "--file FILE [--base NUMBER] [--wait]", "put tables in force",
		"gentianctl apply --settings gentianctl.yaml --file tables.yaml --base 17 --wait",
		func(ctx context.Context, _ []string) error {
			desired, _, err := f.readTables(options.File)
			if err != nil {
				return err
			}
			o, err := f.operator(true, !options.IsStoreOnly)
			if err != nil {
				return err
			}
			if *base != noBase {
				number := uint64(*base)
				options.Base = &number
			}
			options.Timeout = f.timeout
			return f.finish(o.Apply(ctx, desired, options))
		})
}

func getCommand() *ffcli.Command {
	f := newFlags("get")
	return f.command("get", "", "print the tables of the newest revision",
		"gentianctl get --store 10.0.0.5:4390 > tables.yaml",
		f.show(func(ctx context.Context, o *operator.Operator) (operator.Report, error) { return o.Get(ctx) }))
}

func historyCommand() *ffcli.Command {
	f := newFlags("history")
	limit := f.set.Int("limit", defaultHistory, "`number` of changes to show")
	return f.command("history", "[--limit NUMBER]", "list the last accepted changes, the newest first",
		"gentianctl history --store 10.0.0.5:4390 --limit 5",
		f.show(func(ctx context.Context, o *operator.Operator) (operator.Report, error) {
			return o.History(ctx, *limit)
		}))
}

func statusCommand() *ffcli.Command {
	f := newFlags("status")
	isAsking := f.set.Bool("flows", false, "ask every agent for its flows, not only those that drain")
	return f.command("status", "[--flows]", "show balancers, the revision in force on each, targets and the progress of drains",
		"gentianctl status --settings gentianctl.yaml -o json",
		func(ctx context.Context, _ []string) error {
			o, err := f.operator(true, true)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			return f.finish(o.Status(ctx, *isAsking))
		})
}

func drainCommand() *ffcli.Command {
	f := newFlags("drain")
	isForced := f.set.Bool("force", false, "cut the work in progress and end the agent")
	isWaiting := f.set.Bool("wait", false, "wait until no work is left")
	return f.command("drain", "[--wait] [--force] TARGET", "give a target no new work and end its agent when its work has ended",
		"gentianctl drain --settings gentianctl.yaml --wait 10.0.1.7:4400",
		func(ctx context.Context, args []string) error {
			action := control.DrainStart
			if *isForced {
				action = control.DrainForce
			}
			return f.drain(ctx, args, action, *isWaiting)
		})
}

func undrainCommand() *ffcli.Command {
	f := newFlags("undrain")
	return f.command("undrain", "TARGET", "give a target that drains new work again",
		"gentianctl undrain --settings gentianctl.yaml 10.0.1.7:4400",
		func(ctx context.Context, args []string) error {
			return f.drain(ctx, args, control.DrainUndo, false)
		})
}

func (f *flags) drain(ctx context.Context, args []string, action control.DrainAction, isWaiting bool) error {
	if len(args) != 1 {
		return eris.Wrap(errUsage, "expected one target, the address of its agent such as 10.0.1.7:4400")
	}
	target, err := netip.ParseAddrPort(args[0])
	if err != nil {
		return eris.Wrapf(errUsage, "target %q, expected the address of an agent such as 10.0.1.7:4400", args[0])
	}
	o, err := f.operator(false, true)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	return f.finish(o.Drain(ctx, target, action, isWaiting))
}
