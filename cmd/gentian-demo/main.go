// Command gentian-demo starts a whole deployment on loopback, with the real programs and the stand-ins, runs it under load
// for half a minute with operations and a failure, and reports what callers saw. It is a tool for tests and demonstrations,
// not part of the product.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/demo"
	"gentianswitch/internal/emulator"
	"gentianswitch/internal/program"
	"gentianswitch/internal/report"
)

const name = "gentian-demo"

// outputFiles are the paths of the files that the command writes besides its text output.
type outputFiles struct {
	report string
	plot   string
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var out outputFiles
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	deployment := fs.String("deployment", "sierra", "sierra or taiwan")
	seed := fs.Uint64("seed", 1, "`seed` of the load and of the fabric")
	dir := fs.String("dir", "", "`directory` for certificates, tables and logs; empty for a temporary one")
	fs.StringVar(&out.report, "report", "", "`file` for the report as JSON")
	fs.StringVar(&out.plot, "plot", "", "`file` for the plot, .svg or .png")
	if err := fs.Parse(args); err != nil {
		return program.ReportUsage(name, err)
	}
	chosen, err := emulator.DeploymentByName(*deployment)
	if err != nil {
		return program.ReportUsage(name, err)
	}
	settings := demo.Settings{Deployment: chosen, Dir: *dir, Seed: *seed}
	r, err := runDemo(settings)
	if err == nil {
		err = out.write(r)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return program.ExitFailed
	}
	if !r.IsMet() {
		return program.ExitFailed
	}
	return program.ExitOK
}

// runDemo runs the demo with the programs in the directory of this executable. Without a directory in the settings it uses a
// temporary one and removes it at the end.
func runDemo(settings demo.Settings) (*report.Report, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "find programs")
	}
	settings.Bin = filepath.Dir(executable)
	if settings.Dir == "" {
		temporary, err := os.MkdirTemp("", name+"-")
		if err != nil {
			return nil, eris.Wrap(err, "make directory")
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		settings.Dir = temporary
	}
	graceful, _ := program.ShutdownContexts()
	return demo.Run(graceful, settings, os.Stdout)
}

func (o outputFiles) write(r *report.Report) error {
	fmt.Println()
	if err := r.WriteText(os.Stdout); err != nil {
		return err
	}
	if o.report != "" {
		if err := r.SaveJSON(o.report); err != nil {
			return err
		}
	}
	if o.plot == "" {
		return nil
	}
	return r.SavePlot(o.plot)
}
