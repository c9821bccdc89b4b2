// Beechtide is a router fleet for language-model runners with an index of their
// prefix caches. One program contains both roles, router and controller, and the
// operator's commands; the first argument selects one. Each command has its own file in
// this package, which parses flags, loads settings and calls the packages under internal.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

const usage = `usage: beechtide ROLE|COMMAND [flags]

roles
  router      takes clients' requests and forwards them to runners
  controller  keeps the configuration and the registry of runners, and holds leases of singleton roles

commands
  metrics     print the figures of a role that matter in an incident
  doctor      look for common faults of a running system
  rollout     order and follow the rollout of a new version of a service
  check FILE  check a configuration before it is sent
  audit       check audit trails of regulated requests against configurations
  simulate    run simulated histories of the control plane in memory, one for each seed
  traffic     simulate requests from many routers to shared runners in memory
  standin     run a stand-in for a model runner
  load        send requests to routers and check the responses
  soak        run routers and controllers as processes on this machine under faults

Run beechtide COMMAND -h for its flags.
`

// Exit statuses. The commands doctor and rollout have further ones.
const (
	statusOK      = 0
	statusFailure = 1
	statusUsage   = 2 // wrong use of the command line
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the role or command named by the first argument and returns the exit status.
func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return statusUsage
	}
	switch args[0] {
	case roleRouter, roleController:
		return runRole(args[0], args[1:])
	case "rollout":
		return runRollout(args[1:])
	case "check":
		return runCheck(args[1:])
	case "doctor":
		return runDoctor(args[1:])
	case "metrics":
		return runMetrics(args[1:])
	case "audit":
		return runAudit(args[1:])
	case "simulate":
		return runSimulate(args[1:])
	case "traffic":
		return runTraffic(args[1:])
	case "standin":
		return runStandin(args[1:])
	case "load":
		return runLoad(args[1:])
	case "soak":
		return runSoak(args[1:])
	case "-h", "-help", "--help", "help":
		fmt.Print(usage)
		return statusOK
	}
	fmt.Fprintf(os.Stderr, "beechtide: unknown role or command %q; run beechtide -h\n", args[0])
	return statusUsage
}

// parseFlags parses a command's flags. If done is true, the command must end with the
// status at once: after -h, or after wrong use, which is reported on one line.
func parseFlags(flags *flag.FlagSet, args []string) (status int, done bool) {
	flags.SetOutput(io.Discard)
	err := flags.Parse(args)
	switch {
	case err == nil:
		return statusOK, false
	case errors.Is(err, flag.ErrHelp):
		flags.SetOutput(os.Stdout)
		flags.Usage()
		return statusOK, true
	default:
		fmt.Fprintf(os.Stderr, "%s: %v; see -h\n", flags.Name(), err)
		return statusUsage, true
	}
}

// usageError reports wrong use of a command on one line.
func usageError(flags *flag.FlagSet, reason string) int {
	fmt.Fprintf(os.Stderr, "%s: %s\n", flags.Name(), reason)
	return statusUsage
}

// reportError prints the error of a command on one line.
func reportError(flags *flag.FlagSet, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", flags.Name(), err)
}
