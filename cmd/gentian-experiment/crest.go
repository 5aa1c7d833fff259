package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"gentianswitch/internal/opaque/crest"
	"gentianswitch/internal/program"
	"gentianswitch/internal/report"
)

// crestCommand is the subcommand that simulates load peaks of opaque flows without a network.
const crestCommand = "crest"

// crestOptions are the flags of the subcommand.
type crestOptions struct {
	profile, pattern, plots string
	seed                    uint64
	seeds, drawn            int
}

func runCrest(args []string) int {
	var o crestOptions
	fs := flag.NewFlagSet(name+" "+crestCommand, flag.ContinueOnError)
	fs.StringVar(&o.profile, "profile", "", "YAML `file` with a load profile; empty for the built-in patterns")
	fs.StringVar(&o.pattern, "pattern", "", "`name` of one built-in pattern; empty for all")
	fs.StringVar(&o.plots, "plots", "", "`directory` for a plot of each pattern as SVG")
	fs.Uint64Var(&o.seed, "seed", 1, "first `seed`")
	fs.IntVar(&o.seeds, "seeds", 10, "`number` of seeds of each pattern")
	fs.IntVar(&o.drawn, "drawn", 0, "simulate this `number` of randomly drawn deployments instead, and print the worst ten")
	if err := fs.Parse(args); err != nil {
		return program.ReportUsage(fs.Name(), err)
	}
	profiles, err := o.profiles()
	if err != nil {
		return program.ReportUsage(fs.Name(), err)
	}
	if o.drawn > 0 {
		printWorstDrawn(o.seed, o.drawn)
		return program.ExitOK
	}
	if err := o.printComparisons(profiles); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", fs.Name(), err)
		return program.ExitFailed
	}
	return program.ExitOK
}

// profiles returns the load profiles that the flags select.
func (o *crestOptions) profiles() ([]crest.Profile, error) {
	switch {
	case o.seeds < 1 || o.drawn < 0:
		return nil, eris.Errorf("--seeds %d --drawn %d: expected at least one seed and no negative number", o.seeds, o.drawn)
	case o.profile != "":
		p, err := crest.LoadProfile(o.profile)
		return []crest.Profile{p}, err
	case o.pattern != "":
		p, ok := crest.PatternByName(o.pattern)
		if !ok {
			return nil, eris.Errorf("--pattern %q: unknown, expected one of %s", o.pattern, strings.Join(patternNames(), ", "))
		}
		return []crest.Profile{p}, nil
	default:
		return crest.Patterns(), nil
	}
}

func patternNames() (names []string) {
	for _, p := range crest.Patterns() {
		names = append(names, p.Pattern)
	}
	return names
}

// printComparisons compares, for each profile, the shipped order of service with the order of arrival and with an upper
// bound, by the credit that requests earn for answers within their objective or deadline. It prints one line for each profile
// and saves the plots.
func (o *crestOptions) printComparisons(profiles []crest.Profile) error {
	fmt.Printf("%-36s %6s   %-23s   %-23s   %-15s   %-15s\n", "share of the credit", "", "all", "two worst windows", "late", "failed")
	fmt.Printf("%-36s %6s   %7s %7s %7s   %7s %7s %7s   %7s %7s   %7s %7s\n", "pattern", "asked",
		"shipped", "arrival", "bound", "shipped", "arrival", "bound", "shipped", "arrival", "shipped", "arrival")
	for _, p := range profiles {
		c := crest.Compare(p, o.seed, o.seeds)
		fmt.Printf("%-36s %6d   %7.4f %7.4f %7.4f   %7.4f %7.4f %7.4f   %7d %7d   %7d %7d\n", c.Pattern, c.Shipped.Requests,
			c.Shipped.Share, c.Arrival.Share, c.Bound, c.Shipped.WorstWindows, c.Arrival.WorstWindows, c.BoundOfWorstWindows,
			c.Shipped.Late, c.Arrival.Late, c.Shipped.Failed, c.Arrival.Failed)
		if o.plots == "" {
			continue
		}
		if err := plotCrest(o.plots, c); err != nil {
			return err
		}
	}
	return nil
}

func plotCrest(dir string, c crest.Comparison) error {
	curves := report.Curves{
		Title: c.Pattern, X: "asked at, in s", Y: "share of the credit", Step: crest.CurveStep.Seconds(),
		Lines: []report.Curve{{Name: "shipped", Values: c.Shipped.Curve}, {Name: "order of arrival", Values: c.Arrival.Curve}},
	}
	return curves.Save(filepath.Join(dir, strings.ReplaceAll(c.Pattern, " ", "-")+".svg"))
}

// worstDrawnCount is the number of drawn deployments that printWorstDrawn prints.
const worstDrawnCount = 10

// printWorstDrawn simulates deployments drawn with consecutive seeds, and prints those that gain least over the order of
// arrival.
func printWorstDrawn(firstSeed uint64, count int) {
	type outcome struct {
		pattern string
		gain    float64
	}
	var all []outcome
	for seed := firstSeed; seed < firstSeed+uint64(count); seed++ {
		p := crest.Drawn(seed)
		all = append(all, outcome{p.Pattern, crest.Gain(p, seed)})
	}
	slices.SortFunc(all, func(a, b outcome) int { return cmp.Compare(a.gain, b.gain) })
	fmt.Printf("%d drawn deployments; share of the credit against the order of arrival, the worst first:\n", count)
	for _, o := range all[:min(worstDrawnCount, len(all))] {
		fmt.Printf("  %+.4f  %s\n", o.gain, o.pattern)
	}
}
