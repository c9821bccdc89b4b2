package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/doctor"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/transport"
)

const (
	doctorTimeout  = 30 * time.Second // for all requests to all nodes
	doctorPoolSize = 16

	// statusDoctorFailure is the exit status if the examination itself fails, the same as
	// for a fault of the system.
	statusDoctorFailure = 3
)

// doctorOptions are the flags of the doctor command.
type doctorOptions struct {
	settingsPath string
	from         string // local address for requests
	asJSON       bool
	rings        bool // also print the log rings
	duties       bool // also print the duties at the platform
	retired      bool // also print the retired weights
	partitions   bool // also print tallies, evacuations, warm-ups and unreachable zones
	rollouts     bool // also print the rollouts of services
	quotas       bool // also print the counts of tenants with a limit
}

// runDoctor checks a running system for common faults. The exit status is 0 without
// findings, 1 on warnings, 3 on faults and 2 on wrong use.
func runDoctor(args []string) int {
	var options doctorOptions
	flags := flag.NewFlagSet("beechtide doctor", flag.ContinueOnError)
	flags.StringVar(&options.settingsPath, "config", settings.Path(), "path of the settings file")
	flags.BoolVar(&options.asJSON, "json", false, "print the findings as JSON")
	flags.BoolVar(&options.rings, "rings", false, "print the log rings of the nodes as well")
	flags.BoolVar(&options.duties, "duties", false, "print who holds the duties at the platform, and how many runners are ordered, as well")
	flags.BoolVar(&options.retired, "retired", false, "print which weights are retired, on how many routers, and what is left of them, as well")
	flags.BoolVar(&options.quotas, "quotas", false, "print who counts the requests of each tenant with a limit, and what is left of it, as well")
	flags.BoolVar(&options.partitions, "partitions", false, "print the replicas of the tallies, evacuated zones, runners that warm up and zones that routers cannot reach as well")
	flags.BoolVar(&options.rollouts, "rollouts", false, "print the newest rollout of each service, and how many nodes go by its stage, as well")
	flags.StringVar(&options.from, "from", "", "address to ask from; empty: any free port of the settings' ip")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: beechtide doctor [flags]\n\nEnds with 0 where all is well, 1 on warnings, 3 on faults.")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() > 0 {
		return usageError(flags, "takes no arguments; see -h")
	}
	set, err := settings.Load(options.settingsPath)
	if err != nil {
		invalid := doctor.Finding{Severity: doctor.Fault, Subject: options.settingsPath, Problem: err.Error(), Remedy: "correct the settings file"}
		return printFindings([]doctor.Finding{invalid}, options.asJSON)
	}
	status, err := examineSystem(set, options)
	if err != nil {
		reportError(flags, err)
		return statusDoctorFailure
	}
	return status
}

// examineSystem queries the nodes, prints the findings and the requested sections, and
// returns the exit status.
func examineSystem(set settings.Settings, options doctorOptions) (status int, err error) {
	pool, err := ants.NewPool(doctorPoolSize, ants.WithNonblocking(true))
	if err != nil {
		return 0, errors.Wrap(err, "start goroutine pool")
	}
	defer pool.Release()
	addr := options.from
	if addr == "" {
		addr = set.Ip + ":0"
	}
	trans, err := transport.New(addr, pool, logr.Discard())
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), doctorTimeout)
	defer cancel()
	results := doctor.Collect(ctx, trans, set.SeedAddrs())
	status = printFindings(doctor.Examine(results), options.asJSON)
	for _, section := range []struct {
		wanted bool
		lines  func([]doctor.NodeResult) []string
	}{{options.duties, doctor.Duties}, {options.retired, doctor.Retired}, {options.quotas, doctor.Quotas}, {options.partitions, doctor.Partitions}, {options.rollouts, doctor.Rollouts}} {
		if section.wanted {
			printLines(section.lines(results))
		}
	}
	if options.rings {
		for _, l := range doctor.CollectLogs(ctx, trans, results) {
			fmt.Printf("== %s\n%s", l.Node, l.Text)
		}
	}
	return status, nil
}

func printLines(lines []string) {
	for _, line := range lines {
		fmt.Println(line)
	}
}

// printFindings prints findings and returns their exit status.
func printFindings(findings []doctor.Finding, asJSON bool) int {
	if asJSON {
		printJSON(findings)
		return doctor.ExitStatus(findings)
	}
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) == 0 {
		fmt.Println("nothing found")
	}
	return doctor.ExitStatus(findings)
}

// printJSON prints findings as one JSON array, which is empty if there are none.
func printJSON(findings []doctor.Finding) {
	_ = json.NewEncoder(os.Stdout).Encode(append([]doctor.Finding{}, findings...))
}
