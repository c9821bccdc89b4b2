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
	if *show {
		return printHistories(*first, *seeds)
	}
	broken := 0
	counts := simulation.Run(simulation.Range{First: *first, Count: *seeds, Parallel: *parallel}, simulation.Options{}, func(r simulation.Result) {
		broken++
		printHistory(r)
	})
	fmt.Printf("%s; %d broke a check\n", counts, broken)
	if broken > 0 {
		return 1
	}
	return 0
}

func printHistories(first, count uint64) int {
	status := 0
	for seed := first; seed < first+count; seed++ {
		r := simulation.Play(seed, simulation.Options{Record: true})
		printHistory(r)
		if r.Failure != "" {
			status = 1
		}
	}
	return status
}

func printHistory(r simulation.Result) {
	for _, line := range r.History {
		fmt.Println(line)
	}
	if r.Failure == "" {
		fmt.Printf("seed %d: every check held\n\n", r.Seed)
		return
	}
	fmt.Printf("seed %d: %s\nreplay: beechtide simulate -print -seeds 1 -first %d\n\n", r.Seed, r.Failure, r.Seed)
}
