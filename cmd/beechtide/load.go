package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/load"
)

// loadOptions are the flags of the load command.
type loadOptions struct {
	configPath string
	routers    string
	key        string
	tokens     int
	timeLeft   time.Duration
	duration   time.Duration
	verbose    bool
	load       load.Config
}

// runLoad sends requests for the routes of a configuration. The exit status is 1 if a
// response differs from the one that its runner sent.
func runLoad(args []string) int {
	var options loadOptions
	flags := flag.NewFlagSet("beechtide load", flag.ContinueOnError)
	flags.StringVar(&options.configPath, "c", "", "file of the configuration whose routes are used (needed)")
	flags.StringVar(&options.routers, "routers", "", "routers, as FRONT/READY addresses separated by commas (needed)")
	flags.StringVar(&options.key, "key", "", "key of a tenant; empty: the first one of the configuration")
	flags.IntVar(&options.tokens, "tokens", 50, "events of a stream")
	flags.DurationVar(&options.timeLeft, "time-left", 5*time.Second, "time that is left to a request")
	flags.DurationVar(&options.duration, "duration", 10*time.Second, "how long to send requests")
	flags.IntVar(&options.load.Clients, "clients", 8, "clients")
	flags.DurationVar(&options.load.Think, "think", 100*time.Millisecond, "mean pause of a client between two requests")
	flags.DurationVar(&options.load.Patience, "patience", 2*time.Second, "how long clients wait beyond the time that is left")
	flags.Uint64Var(&options.load.Seed, "seed", 1, "seed of the clients' choices")
	flags.BoolVar(&options.verbose, "v", false, "print every request")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), "usage: beechtide load -c FILE -routers FRONT/READY,... [flags]\n\nSends requests to routers and checks the responses, which stand-in runners have to give.\n")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() != 0 || options.configPath == "" || options.routers == "" {
		return usageError(flags, "takes flags only and needs -c and -routers; see -h")
	}
	faults, err := sendLoad(options)
	if err != nil {
		reportError(flags, err)
		return statusFailure
	}
	if faults > 0 {
		return statusFailure
	}
	return statusOK
}

// sendLoad sends requests, prints the count of each outcome and returns the number of
// faulty responses.
func sendLoad(options loadOptions) (faults int, err error) {
	config, err := readConfig(options.configPath)
	if err != nil {
		return 0, err
	}
	options.load.Kinds = requestKinds(config, options)
	if options.load.Routers, err = parseRouters(options.routers); err != nil {
		return 0, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, options.duration)
	defer cancel()
	var mu sync.Mutex
	counts := map[string]int{}
	options.load.OnRecord = func(r load.Record) {
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprintf("%s %s %d", r.Kind.Class, r.Outcome, r.Status)]++
		if r.Fault != "" {
			faults++
		}
		if options.verbose || r.Fault != "" {
			fmt.Println(r, r.Fault)
		}
	}
	load.Run(ctx, options.load)
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("%6d %s\n", counts[outcome], outcome)
	}
	return faults, nil
}

// requestKinds returns a kind of request for each route.
func requestKinds(config api.Configuration, options loadOptions) []load.Kind {
	key := options.key
	if key == "" && len(config.Tenants) > 0 && len(config.Tenants[0].Keys) > 0 {
		key = config.Tenants[0].Keys[0]
	}
	models := map[string]string{}
	for _, s := range config.Services {
		if len(s.Engine.Models) > 0 {
			models[s.Name] = s.Engine.Models[0].Name
		}
	}
	var kinds []load.Kind
	for _, route := range config.Routes {
		kind := load.Kind{Host: route.Host, Path: route.Prefix + "x", Key: key, Class: requestClass(route), Model: models[route.Service], TimeLeft: options.timeLeft}
		if kind.Class.IsStream() {
			kind.Tokens = options.tokens
		}
		if route.Unkeyed {
			kind.Key = ""
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

func requestClass(route api.Route) load.Class {
	switch {
	case route.Kind == api.Streaming && route.Resumable:
		return load.Resumable
	case route.Kind == api.Streaming:
		return load.Streaming
	case route.Kind == api.Effectful:
		return load.Effectful
	default:
		return load.Idempotent
	}
}

// parseRouters parses FRONT/READY addresses separated by commas.
func parseRouters(list string) ([]load.Router, error) {
	var routers []load.Router
	for entry := range strings.SplitSeq(list, ",") {
		front, ready, found := strings.Cut(entry, "/")
		if !found {
			return nil, errors.Errorf("router %q isn't FRONT/READY", entry)
		}
		routers = append(routers, load.Router{Node: front, Front: front, Ready: ready})
	}
	return routers, nil
}
