package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/compliance"
)

// pathList is a repeatable flag that collects paths.
type pathList []string

func (p *pathList) String() string { return strings.Join(*p, ",") }

// Set appends a path.
func (p *pathList) Set(path string) error {
	*p = append(*p, path)
	return nil
}

// runAudit checks audit trails of regulated requests. The exit status is 0 if they have
// no violations, 1 if they have some or cannot be read, and 2 on wrong use.
func runAudit(args []string) int {
	flags := flag.NewFlagSet("beechtide audit", flag.ContinueOnError)
	var configPaths pathList
	flags.Var(&configPaths, "c", "a configuration `file` that was in force; give it once for each version")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: beechtide audit -c CONFIGURATION... TRAIL...\n\nTrails are JSON lines as GET /api/audit on a router's ready address gives them.")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if len(configPaths) == 0 || flags.NArg() == 0 {
		return usageError(flags, "name at least one configuration (-c) and one trail")
	}
	configs, err := readConfigs(configPaths)
	if err != nil {
		reportError(flags, err)
		return statusFailure
	}
	entries, err := readTrails(flags.Args())
	if err != nil {
		reportError(flags, err)
		return statusFailure
	}
	violations := compliance.CheckTrail(entries, configs)
	for _, v := range violations {
		fmt.Println(v)
	}
	fmt.Printf("%d entries, %d violations\n", len(entries), len(violations))
	if len(violations) > 0 {
		return statusFailure
	}
	return statusOK
}

func readConfigs(paths []string) ([]api.Configuration, error) {
	var configs []api.Configuration
	for _, path := range paths {
		config, err := readConfig(path)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		configs = append(configs, config)
	}
	return configs, nil
}

// readTrails reads audit trails and concatenates their entries in the order of the files.
func readTrails(paths []string) ([]compliance.Entry, error) {
	var entries []compliance.Entry
	for _, path := range paths {
		trail, err := readTrail(path)
		if err != nil {
			return nil, err
		}
		entries = append(entries, trail...)
	}
	return entries, nil
}

func readTrail(path string) ([]compliance.Entry, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	entries, err := compliance.ReadTrail(f)
	return entries, errors.Wrap(err, path)
}
