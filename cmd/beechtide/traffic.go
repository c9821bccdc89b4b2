package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"beechtide.org/beechtide/internal/simulation/traffic"
)

// runTraffic simulates requests from many routers to shared runners and prints the
// latencies, outcomes and the balance of the runners.
func runTraffic(args []string) int {
	options := traffic.Defaults()
	flags := flag.NewFlagSet("beechtide traffic", flag.ContinueOnError)
	flags.IntVar(&options.Routers, "routers", options.Routers, "routers that share the runners")
	flags.IntVar(&options.Runners, "runners", options.Runners, "runners")
	flags.Float64Var(&options.RequestsPerSecond, "rate", options.RequestsPerSecond, "requests a second at all routers together")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "simulated time for which requests arrive")
	flags.DurationVar(&options.LoadInterval, "load-interval", options.LoadInterval, "time between two sums of loads")
	flags.DurationVar(&options.LoadDelay, "load-delay", options.LoadDelay, "age of a sum of loads when it reaches the routers")
	flags.DurationVar(&options.NoticeDelay, "notice-delay", options.NoticeDelay, "age of a notice of a prefix that will be cached")
	flags.StringVar(&options.Cut.Zone, "cut-zone", "", "zone, a to e, that is cut off from the others; empty: none")
	flags.DurationVar(&options.Cut.From, "cut-from", time.Second, "when the cut begins")
	flags.DurationVar(&options.Cut.For, "cut-for", 6*time.Second, "how long it lasts")
	flags.BoolVar(&options.Cut.Unaware, "cut-unaware", false, "routers do not ping other zones")
	seed := flags.Uint64("seed", 1, "the source of chance; equal seeds give equal results")
	asJSON := flags.Bool("json", false, "print the figures as JSON")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), "usage: beechtide traffic [flags]\n\nSimulates requests from many routers to runners that they share, in memory: the routers' admission and\nplacement are the program's own, the runners are modelled. Prints how many requests had their first token in\ntime, and how evenly the runners were used.\n")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() != 0 {
		return usageError(flags, "takes flags only; see -h")
	}
	if err := options.Validate(); err != nil {
		return usageError(flags, err.Error())
	}
	result := traffic.Run(options, *seed)
	if !*asJSON {
		fmt.Print(result.String())
		return statusOK
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result.Figures()); err != nil {
		reportError(flags, err)
		return statusFailure
	}
	return statusOK
}
