package main

import (
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/metrics"
	"beechtide.org/beechtide/internal/settings"
)

const metricsTimeout = 5 * time.Second

// runMetrics prints the non-zero metrics of roles. The exit status is 1 if one of them
// cannot be read.
func runMetrics(args []string) int {
	flags := flag.NewFlagSet("beechtide metrics", flag.ContinueOnError)
	path := flags.String("config", settings.Path(), "path of the settings file, for the addresses of this machine's roles")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), "usage: beechtide metrics [flags] [ADDRESS...]\n\nPrints the figures that are not 0 of the roles at these addresses (IP:PORT), or of this machine's roles.\n")
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	addrs := flags.Args()
	if len(addrs) == 0 {
		set, err := settings.Load(*path)
		if err != nil {
			reportError(flags, err)
			return statusFailure
		}
		addrs = []string{set.RouterMetricsAddr(), set.ControllerMetricsAddr()}
	}
	status := statusOK
	for _, addr := range addrs {
		lines, err := fetchSummary(addr)
		if err != nil {
			reportError(flags, err)
			status = statusFailure
			continue
		}
		fmt.Printf("== %s\n", addr)
		for _, line := range lines {
			fmt.Println(line)
		}
	}
	return status
}

func fetchSummary(addr string) ([]string, error) {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + addr + metrics.Path)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answers %s", addr, response.Status)
	}
	return metrics.Summary(response.Body)
}
