package main

import (
	"context"
	"flag"
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"beechtide.org/beechtide/internal/standin"
)

// runStandin runs a stand-in for a model runner until SIGTERM or SIGINT, on which it
// drains and leaves.
func runStandin(args []string) int {
	var config standin.Config
	var controllers string
	flags := flag.NewFlagSet("beechtide standin", flag.ContinueOnError)
	flags.StringVar(&config.Service, "service", "", "service that it belongs to (needed)")
	flags.StringVar(&config.Zone, "zone", "", "its zone")
	flags.StringVar(&config.Listen, "listen", "127.0.0.1:0", "address to accept requests on")
	flags.StringVar(&config.Advertise, "advertise", "", "address told in heartbeats; empty: the one listened on")
	flags.StringVar(&controllers, "controllers", "", "control addresses for heartbeats, separated by commas; empty: none are sent")
	flags.StringVar(&config.ProbePath, "probe", "/health", "path of the health probe")
	flags.IntVar(&config.Capacity, "capacity", 8, "requests that run at a time")
	flags.IntVar(&config.QueueLength, "queue", 4, "requests that wait for their turn")
	flags.IntVar(&config.CacheTokens, "cache-tokens", 100000, "tokens of prompts that are kept")
	flags.StringVar(&config.Model, "model", "standin", "model that is loaded")
	flags.Int64Var(&config.WeightsVersion, "weights", 1, "version of its weights")
	flags.DurationVar(&config.HeartbeatInterval, "heartbeat", time.Second, "time between heartbeats")
	flags.DurationVar(&config.PrefillTime, "prefill", 20*time.Millisecond, "time to the first token")
	flags.DurationVar(&config.TokenTime, "token", 10*time.Millisecond, "time between two tokens")
	flags.DurationVar(&config.WorkTime, "work", 10*time.Millisecond, "time of a request that isn't a generation")
	flags.DurationVar(&config.WeightsLoadTime, "load", 500*time.Millisecond, "time to load other weights")
	flags.DurationVar(&config.DrainTime, "drain", 2*time.Second, "how long it serves on after its draining is acknowledged")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), "usage: beechtide standin -service NAME [flags]\n\nRuns a stand-in for a model runner until SIGTERM, on which it drains, leaves and ends.\n")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() != 0 || config.Service == "" {
		return usageError(flags, "takes flags only and needs -service; see -h")
	}
	if controllers != "" {
		config.Controllers = strings.Split(controllers, ",")
	}
	if err := serveStandin(config); err != nil {
		reportError(flags, err)
		return statusFailure
	}
	return statusOK
}

// leaveTimeout bounds a graceful shutdown, in addition to twice the drain time.
const leaveTimeout = 10 * time.Second

func serveStandin(config standin.Config) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runner := standin.New(config)
	address, err := runner.Listen()
	if err != nil {
		return err
	}
	runner.Start("")
	fmt.Printf("runner %s of service %s at %s\n", runner.ID(), config.Service, address)
	<-ctx.Done()
	leaving, cancel := context.WithTimeout(context.Background(), leaveTimeout+2*config.DrainTime)
	defer cancel()
	runner.Leave(leaving)
	return nil
}
