package main

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"

	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/simulation"
)

const defaultSeeds = 1000

// runSimulate runs simulated histories of the control plane. The exit status is 1 if a
// check fails for a seed or an invariant is violated.
func runSimulate(args []string) int {
	flags := flag.NewFlagSet("beechtide simulate", flag.ContinueOnError)
	model := flags.String("model", "registers", "what to play: "+strings.Join(slices.Sorted(maps.Keys(simulation.Models)), ", "))
	seeds := flags.Uint64("seeds", defaultSeeds, "how many histories to play")
	first := flags.Uint64("first", 0, "the first seed")
	parallel := flags.Int("parallel", 1, "how many to play at a time")
	printAll := flags.Bool("print", false, "print the history of every seed, not only of those that break a check")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), "usage: beechtide simulate [flags]\n\nPlays histories of the control side in memory, one a seed, with faults drawn from it. Prints the\nhistory of each seed that breaks a check, and ends with status 1 then.\n")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() != 0 {
		return usageError(flags, "takes flags only; see -h")
	}
	if simulation.Models[*model] == nil {
		return usageError(flags, fmt.Sprintf("no model %q; see -h", *model))
	}
	if *printAll {
		return printHistories(*model, *first, *seeds)
	}
	return checkHistories(simulation.Range{Model: *model, First: *first, Count: *seeds, Parallel: *parallel})
}

// checkHistories runs the seeds and prints the histories of those for which a check fails.
func checkHistories(seeds simulation.Range) int {
	failures := 0
	counts := simulation.Run(seeds, simulation.Options{}, func(r simulation.Result) {
		failures++
		printHistory(seeds.Model, r)
	})
	fmt.Printf("%s; %d broke a check\n", counts, failures)
	violated := invariant.Violations()
	for _, v := range violated {
		fmt.Printf("invariant %s was violated %d times\n", v.Name, v.Count)
	}
	if failures > 0 || len(violated) > 0 {
		return statusFailure
	}
	return statusOK
}

// printHistories runs the seeds sequentially and prints the history of each.
func printHistories(model string, first, count uint64) int {
	status := statusOK
	for seed := first; seed < first+count; seed++ {
		r := simulation.Models[model](seed, simulation.Options{Record: true})
		printHistory(model, r)
		if r.Failure != "" {
			status = statusFailure
		}
	}
	return status
}

func printHistory(model string, r simulation.Result) {
	for _, line := range r.History {
		fmt.Println(line)
	}
	if r.Failure == "" {
		fmt.Printf("seed %d: every check held\n\n", r.Seed)
		return
	}
	fmt.Printf("seed %d: %s\nreplay: beechtide simulate -model %s -print -seeds 1 -first %d\n\n", r.Seed, r.Failure, model, r.Seed)
}
