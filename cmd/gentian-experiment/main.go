// Command gentian-experiment measures the service that callers get from a deployment on loopback, under the production
// policy and under the baseline. With the subcommand crest it simulates load peaks of opaque flows without a network. It is a
// tool for measurements, not part of the product.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/emulator"
	"gentianswitch/internal/experiment"
	"gentianswitch/internal/program"
)

const (
	name     = "gentian-experiment"
	fileMode = 0o600
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) > 0 && args[0] == crestCommand {
		return runCrest(args[1:])
	}
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	deployment := fs.String("deployment", "sierra", "sierra or taiwan")
	only := fs.String("only", "", "comma-separated `names` of experiments; empty for all")
	seed := fs.Uint64("seed", 1, "`seed` of the load and of the fabric")
	policies := fs.String("policies", strings.Join(experiment.Policies, ","), "comma-separated `names` of admission policies")
	file := fs.String("report", "", "`file` for the results as JSON")
	plots := fs.String("plots", "", "`directory` for a plot of each scenario as SVG")
	if err := fs.Parse(args); err != nil {
		return program.ReportUsage(name, err)
	}
	d, err := emulator.DeploymentByName(*deployment)
	if err != nil {
		return program.ReportUsage(name, err)
	}
	settings := experiment.Settings{
		Deployment: d, Seed: *seed, Policies: strings.Split(*policies, ","), Out: os.Stdout,
	}
	results, err := runExperiments(settings, *only)
	if err == nil && *file != "" {
		err = saveResults(*file, results)
	}
	if err == nil && *plots != "" {
		err = savePlots(*plots, results)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return program.ExitFailed
	}
	return program.ExitOK
}

// savePlots writes a plot of each scenario to the directory.
func savePlots(dir string, results []*experiment.Result) error {
	for _, r := range results {
		for _, o := range r.Outcomes {
			file := strings.ReplaceAll(o.Report.Name, " ", "-") + ".svg"
			if err := o.Report.SavePlot(filepath.Join(dir, file)); err != nil {
				return err
			}
		}
	}
	return nil
}

// runExperiments runs the experiments that only names, or all if it is empty, and prints their results.
func runExperiments(settings experiment.Settings, only string) ([]*experiment.Result, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "find programs")
	}
	settings.Bin = filepath.Dir(executable)
	graceful, _ := program.ShutdownContexts()
	var results []*experiment.Result
	for _, x := range experiment.All() {
		if only != "" && !strings.Contains(","+only+",", ","+x.Name+",") {
			continue
		}
		fmt.Printf("%s: %s (%s, seed %d)\n", x.Name, x.Description, settings.Deployment.Name, settings.Seed)
		result, err := x.Run(graceful, settings)
		if err != nil {
			return nil, eris.Wrapf(err, "experiment %s", x.Name)
		}
		printResult(result)
		results = append(results, result)
	}
	return results, nil
}

func printResult(r *experiment.Result) {
	for _, f := range r.Figures {
		verdict := ""
		switch {
		case f.Limit != 0 && f.IsMet():
			verdict = fmt.Sprintf("bound %.2f met", f.Limit)
		case f.Limit != 0:
			verdict = fmt.Sprintf("bound %.2f MISSED", f.Limit)
		}
		fmt.Printf("  %-5s %-46s %8.3f  %s\n", f.Policy, f.Name, f.Value, verdict)
	}
	fmt.Println()
}

func saveResults(path string, results []*experiment.Result) error {
	raw, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrapf(os.WriteFile(path, raw, fileMode), "write %s", path)
}
