package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"beechtide.org/beechtide/internal/soak"
)

// soakOptions are the flags of the soak command.
type soakOptions struct {
	seed    uint64
	seeds   uint64
	shape   soak.Shape
	clients int
	short   bool
	logs    string
}

// Default sizes of a soak run.
const (
	defaultSoakDuration    = 30 * time.Second
	shortSoakDuration      = 6 * time.Second
	defaultSoakRouters     = 3
	defaultSoakControllers = 3
	defaultSoakRunners     = 3
	defaultSoakZones       = 3
	defaultSoakClients     = 24
)

// runSoak runs one soak for each seed. The exit status is 1 if one of them finds a
// violation.
func runSoak(args []string) int {
	var options soakOptions
	flags := flag.NewFlagSet("beechtide soak", flag.ContinueOnError)
	flags.Uint64Var(&options.seed, "seed", 1, "the first seed")
	flags.Uint64Var(&options.seeds, "seeds", 1, "how many seeds, one after the other")
	flags.DurationVar(&options.shape.Duration, "duration", defaultSoakDuration, "how long faults are played for each seed")
	flags.IntVar(&options.shape.Routers, "routers", defaultSoakRouters, "router processes")
	flags.IntVar(&options.shape.Controllers, "controllers", defaultSoakControllers, "controller processes")
	flags.IntVar(&options.shape.Zones, "zones", defaultSoakZones, "zones over which routers and controllers are spread; with more than one, zones fall silent")
	flags.IntVar(&options.shape.Runners, "runners", defaultSoakRunners, "stand-in runners")
	flags.IntVar(&options.shape.Overlap, "overlap", 0, "faults at a time; 0: two or three, drawn from the seed")
	flags.IntVar(&options.clients, "clients", defaultSoakClients, "clients")
	flags.BoolVar(&options.shape.Calm, "calm", false, "play no faults and no changes: a fleet with runners, clients and a platform on this machine, for a first look")
	flags.BoolVar(&options.short, "short", false, "play faults for a few seconds only")
	flags.StringVar(&options.logs, "logs", "", "folder to keep logs and evidence in; empty: kept only for seeds with a violation")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), "usage: beechtide soak [flags]\n\nRuns routers and controllers as processes on the loopback network, with stand-in runners and clients,\nunder faults drawn from a seed, and judges what is seen. Ends with status 1 on violations.\n")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() != 0 {
		return usageError(flags, "takes flags only; see -h")
	}
	if min(options.shape.Routers, options.shape.Controllers, options.shape.Runners) < 1 {
		return usageError(flags, "needs a router, a controller and a runner at least")
	}
	if options.short {
		options.shape.Duration = shortSoakDuration
	}
	violations, err := runSeeds(options)
	if err != nil {
		reportError(flags, err)
		return statusFailure
	}
	if violations > 0 {
		return statusFailure
	}
	return statusOK
}

// runSeeds runs the seeds sequentially and returns the number of violations. Without -logs
// it removes the folders of seeds without violations.
func runSeeds(options soakOptions) (violations int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root, keepAll := options.logs, options.logs != ""
	if !keepAll {
		if root, err = os.MkdirTemp("", "beechtide-soak-"); err != nil {
			return 0, err
		}
		defer os.Remove(root) // fails, as intended, if the folder of a seed remains in it
	}
	for seed := options.seed; seed < options.seed+options.seeds; seed++ {
		dir := filepath.Join(root, fmt.Sprintf("seed-%d", seed))
		found, err := runSeed(ctx, options, seed, dir)
		if err != nil {
			return violations, err
		}
		violations += found
		if found == 0 && !keepAll {
			os.RemoveAll(dir)
		}
	}
	return violations, nil
}

func runSeed(ctx context.Context, options soakOptions, seed uint64, dir string) (violations int, err error) {
	program, err := os.Executable()
	if err != nil {
		return 0, err
	}
	result, err := soak.Run(ctx, soak.Options{Program: program, Dir: dir, Seed: seed, Shape: options.shape, Clients: options.clients})
	if err != nil {
		return 0, err
	}
	if len(result.Violations) == 0 {
		fmt.Println(result.Summary())
	} else {
		result.Print(os.Stdout)
		fmt.Printf("  logs   %s\n  replay beechtide soak -seed %d -duration %s\n", dir, seed, options.shape.Duration)
	}
	return len(result.Violations), result.Write(dir)
}
