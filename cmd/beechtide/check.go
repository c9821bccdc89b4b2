package main

import (
	"flag"
	"fmt"
	"os"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/routeconfig"
)

// runCheck validates a configuration. For an invalid one it reports the field and the
// reason, and returns exit status 1.
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

// readConfig reads and validates a configuration file.
func readConfig(path string) (api.Configuration, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return api.Configuration{}, err
	}
	return routeconfig.Parse(raw)
}
