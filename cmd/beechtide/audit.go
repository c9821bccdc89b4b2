// The audit command: checks trails of regulated requests.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/compliance"
	"beechtide.org/beechtide/internal/routeconfig"
)

type files []string

func (f *files) String() string { return strings.Join(*f, ",") }

func (f *files) Set(s string) error {
	*f = append(*f, s)
	return nil
}

// audit ends with 0 where a trail holds no violation, 1 where it holds some or
// can't be read, 2 on wrong use.
func audit(args []string) int {
	fs := flag.NewFlagSet("beechtide audit", flag.ContinueOnError)
	var configs files
	fs.Var(&configs, "c", "a configuration `file` that was in force; give it once for each version")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "usage: beechtide audit -c CONFIGURATION... TRAIL...\n\nTrails are JSON lines as GET /api/audit on a router's ready address gives them.")
		fs.PrintDefaults()
	}
	if status := parse(fs, args); status >= 0 {
		return status
	}
	if len(configs) == 0 || fs.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "beechtide audit: name at least one configuration (-c) and one trail")
		return 2
	}
	var menus []api.Configuration
	for _, path := range configs {
		raw, err := os.ReadFile(path)
		if err == nil {
			var m api.Configuration
			if m, err = routeconfig.Parse(raw); err == nil {
				menus = append(menus, m)
				continue
			}
		}
		fmt.Fprintf(os.Stderr, "beechtide audit: %s: %v\n", path, err)
		return 1
	}
	var list []compliance.Entry
	for _, path := range fs.Args() {
		f, err := os.Open(path)
		if err != nil {
			fmt.Fprintf(os.Stderr, "beechtide audit: %v\n", err)
			return 1
		}
		part, err := compliance.ReadTrail(f)
		f.Close()
		if err != nil {
			fmt.Fprintf(os.Stderr, "beechtide audit: %s: %v\n", path, err)
			return 1
		}
		list = append(list, part...)
	}
	bad := compliance.CheckTrail(list, menus)
	for _, v := range bad {
		fmt.Println(v)
	}
	fmt.Printf("%d entries, %d violations\n", len(list), len(bad))
	if len(bad) > 0 {
		return 1
	}
	return 0
}
