package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"gentianswitch/internal/operator"
	"gentianswitch/internal/trail"
)

func trailCommand() *ffcli.Command {
	f := newCommandFlags("trail")
	return f.command("trail", "CALLER>ADDRESS LOG...", "merge the log lines of an opaque flow from the logs of many processes",
		"gentianctl trail '100.65.0.15:1087>198.18.0.1:8080' logs/*.log",
		func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return eris.Wrap(errUsage, "expected a flow in the form caller>address and at least one log")
			}
			lines, err := readTrail(args[0], args[1:])
			if err != nil {
				return err
			}
			for _, line := range lines {
				fmt.Println(line)
			}
			if len(lines) == 0 {
				fmt.Fprintf(os.Stderr, "%s: no line of flow %s in %d logs\n", name, args[0], len(args)-1)
				return exitCodeError(operator.ExitFailed)
			}
			return nil
		})
}

// readTrail returns the log lines of a flow from all logs, sorted by time. The file name of a log, without its extension, is
// the name of the process that wrote it.
func readTrail(flow string, logs []string) ([]trail.Line, error) {
	var all []trail.Line
	for _, path := range logs {
		file, err := os.Open(path)
		if err != nil {
			return nil, eris.Wrapf(errUsage, "log: %v", err)
		}
		source := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		lines, err := trail.Read(flow, source, file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	trail.Sort(all)
	return all, nil
}
