// The doctor command: looks for common faults of a running system.
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

	"beechtide.org/beechtide/internal/doctor"
	"beechtide.org/beechtide/internal/settings"
	"beechtide.org/beechtide/internal/transport"
)

// examine ends with 0 where nothing is found, 1 on warnings, 3 on faults and 2
// on wrong use.
func examine(args []string) int {
	fs := flag.NewFlagSet("beechtide doctor", flag.ContinueOnError)
	path := fs.String("config", settings.Path(), "path of the settings file")
	asJSON := fs.Bool("json", false, "print the findings as JSON")
	rings := fs.Bool("rings", false, "print the log rings of the nodes as well")
	from := fs.String("from", "", "address to ask from; empty: any free port of the settings' ip")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "usage: beechtide doctor [flags]\n\nEnds with 0 where all is well, 1 on warnings, 3 on faults.")
		fs.PrintDefaults()
	}
	if status := parse(fs, args); status >= 0 {
		return status
	}
	if fs.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "beechtide doctor: takes no arguments; see -h")
		return 2
	}
	set, err := settings.Load(*path)
	if err != nil {
		return report([]doctor.Finding{{Severity: doctor.Fault, Subject: *path, Problem: err.Error(), Remedy: "correct the settings file"}}, *asJSON)
	}
	pool, err := ants.NewPool(16, ants.WithNonblocking(true))
	if err != nil {
		fmt.Fprintf(os.Stderr, "beechtide doctor: %v\n", err)
		return 3
	}
	defer pool.Release()
	if *from == "" {
		*from = set.Ip + ":0"
	}
	r, err := transport.New(*from, pool, logr.Discard())
	if err != nil {
		fmt.Fprintf(os.Stderr, "beechtide doctor: %v\n", err)
		return 3
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	list := doctor.Collect(ctx, r, set.SeedAddrs())
	status := report(doctor.Examine(list), *asJSON)
	if *rings {
		for _, l := range doctor.CollectLogs(ctx, r, list) {
			fmt.Printf("== %s\n%s", l.Node, l.Text)
		}
	}
	return status
}

func report(list []doctor.Finding, asJSON bool) int {
	if asJSON {
		if list == nil {
			list = []doctor.Finding{}
		}
		_ = json.NewEncoder(os.Stdout).Encode(list)
		return doctor.ExitStatus(list)
	}
	for _, f := range list {
		fmt.Println(f)
	}
	if len(list) == 0 {
		fmt.Println("nothing found")
	}
	return doctor.ExitStatus(list)
}
