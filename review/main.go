// Command review plays the cases of an independent review against the project's own programs.
package main

import (
	"fmt"
	"os"
	"time"
)

// Results of a case, which are its exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(rec *record, trouble bool) int{
	"drain":    drainCase,
	"tally":    tallyCase,
	"wall":     wallCase,
	"exposure": exposureCase,
	"memory":   memoryCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(cannotRun)
	}
	rec := &record{start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	result := cases[os.Args[1]](rec, trouble)
	rec.add("result: %d", result)
	rec.write(os.Args[2])
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "the case could not run"}[result])
	os.Exit(result)
}
