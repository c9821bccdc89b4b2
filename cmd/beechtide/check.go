package main

import (
	"flag"
	"fmt"
	"os"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/routeconfig"
)

// runCheck tells whether a configuration is valid, and where it is not, which
// field and why.
func runCheck(args []string) int {
	flags := flag.NewFlagSet("beechtide check", flag.ContinueOnError)
	flags.Usage = func() { fmt.Fprintln(flags.Output(), "usage: beechtide check FILE") }
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if flags.NArg() != 1 {
		return usageError(flags, "name one configuration file")
	}
	if _, err := readConfig(flags.Arg(0)); err != nil {
		reportError(flags, err)
		return statusFailure
	}
	return statusOK
}

// readConfig reads and checks a configuration.
func readConfig(path string) (api.Configuration, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return api.Configuration{}, err
	}
	return routeconfig.Parse(raw)
}
