// Command gentianctl is the operator's command line over the tables of routes and pools.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/program"
	"gentianswitch/internal/revision"
	"gentianswitch/internal/store"
	"gentianswitch/internal/tables"
)

const name = "gentianctl"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	root := &ffcli.Command{
		Name:        name,
		ShortUsage:  name + " <apply> [flags]",
		Subcommands: []*ffcli.Command{applyCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		return program.ReportUsage(name, err)
	}
	if err := root.Run(context.Background()); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return program.ExitFailed
	}
	return program.ExitOK
}

func applyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	address := fs.String("store", "127.0.0.1:4390", "`host:port` of the platform's store")
	file := fs.String("file", "", "YAML `file` with the tables")
	return &ffcli.Command{Name: "apply", FlagSet: fs, ShortHelp: "put the tables in force",
		Exec: func(ctx context.Context, _ []string) error { return apply(ctx, *address, *file) }}
}

func apply(ctx context.Context, address, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read tables")
	}
	if _, err := tables.Parse(raw); err != nil {
		return err
	}
	kv := store.NewHTTP(address)
	head, err := kv.Get(ctx, revision.HeadKey)
	if err != nil && !eris.Is(err, store.ErrNotFound) {
		return err
	}
	version, err := kv.CompareAndSwap(ctx, revision.HeadKey, head.Version, raw, 0)
	if err != nil {
		return err
	}
	fmt.Println("accepted revision", version)
	return nil
}
