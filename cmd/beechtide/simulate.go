// The command that plays simulated histories of the control side.
package main

import (
	"flag"
	"fmt"
	"os"

	"beechtide.org/beechtide/internal/simulation"
)

func simulate(args []string) int {
	fs := flag.NewFlagSet("beechtide simulate", flag.ContinueOnError)
	model := fs.String("model", "registers", "what to play: registers, runners or runners-partial")
	seeds := fs.Uint64("seeds", 1000, "how many histories to play")
	first := fs.Uint64("first", 0, "the first seed")
	parallel := fs.Int("parallel", 1, "how many to play at a time")
	show := fs.Bool("print", false, "print the history of every seed, not only of those that break a check")
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "usage: beechtide simulate [flags]\n\nPlays histories of the control side in memory, one a seed, with faults drawn from it. Prints the\nhistory of each seed that breaks a check, and ends with status 1 then.\n")
		fs.PrintDefaults()
	}
	if status := parse(fs, args); status >= 0 {
		return status
	}
	if fs.NArg() != 0 {
		fmt.Fprintln(os.Stderr, "beechtide simulate: takes flags only; see -h")
		return 2
	}
	if simulation.Models[*model] == nil {
		fmt.Fprintf(os.Stderr, "beechtide simulate: no model %q; see -h\n", *model)
		return 2
	}
	if *show {
		return printHistories(*model, *first, *seeds)
	}
	broken := 0
	counts := simulation.Run(simulation.Range{Model: *model, First: *first, Count: *seeds, Parallel: *parallel}, simulation.Options{}, func(r simulation.Result) {
		broken++
		printHistory(*model, r)
	})
	fmt.Printf("%s; %d broke a check\n", counts, broken)
	if broken > 0 {
		return 1
	}
	return 0
}

func printHistories(model string, first, count uint64) int {
	status := 0
	for seed := first; seed < first+count; seed++ {
		r := simulation.Models[model](seed, simulation.Options{Record: true})
		printHistory(model, r)
		if r.Failure != "" {
			status = 1
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
