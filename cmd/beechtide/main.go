// Beechtide is a router fleet for language-model runners with an index of kept
// prompts. One program; the role is a subcommand.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"

	"beechtide.org/beechtide/internal/controller"
	"beechtide.org/beechtide/internal/logring"
	"beechtide.org/beechtide/internal/routeconfig"
	"beechtide.org/beechtide/internal/router"
	"beechtide.org/beechtide/internal/settings"
)

const usage = `usage: beechtide ROLE|COMMAND [flags]

roles
  router    take clients' requests and send them to runners
  controller   keep configuration, registrations and duties

commands
  doctor      look for common faults of a running system
  check FILE  check a configuration before it is sent
  audit       check audit trails of regulated requests against configurations
  simulate    play histories of the control side in memory, run by seed

Run beechtide COMMAND -h for its flags.
`

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return 2
	}
	switch args[0] {
	case "router", "controller":
		return serve(args[0], args[1:])
	case "check":
		return check(args[1:])
	case "doctor":
		return examine(args[1:])
	case "audit":
		return audit(args[1:])
	case "simulate":
		return simulate(args[1:])
	case "-h", "-help", "--help", "help":
		fmt.Print(usage)
		return 0
	}
	fmt.Fprintf(os.Stderr, "beechtide: unknown role or command %q; run beechtide -h\n", args[0])
	return 2
}

// parse reads flags. It tells the status to end with, or -1 to go on: 0 after
// -h, 2 with one line after wrong use.
func parse(fs *flag.FlagSet, args []string) int {
	fs.SetOutput(io.Discard)
	switch err := fs.Parse(args); err {
	case nil:
		return -1
	case flag.ErrHelp:
		fs.SetOutput(os.Stdout)
		fs.Usage()
		return 0
	default:
		fmt.Fprintf(os.Stderr, "%s: %v; see -h\n", fs.Name(), err)
		return 2
	}
}

type role interface {
	Run(ctx context.Context) error
	Reload(set settings.Settings)
	OnRing(show func() ([]byte, error))
}

func serve(name string, args []string) int {
	fs := flag.NewFlagSet("beechtide "+name, flag.ContinueOnError)
	path := fs.String("config", settings.Path(), "path of the settings file")
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "usage: beechtide %s [flags]\n\nRuns the role until SIGTERM. SIGHUP reads the settings again, SIGQUIT writes the log out.\n", name)
		fs.PrintDefaults()
	}
	logAll := fs.Bool("log-all", false, "write every line of the log at once, not only when something goes wrong")
	if status := parse(fs, args); status >= 0 {
		return status
	}
	set, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "beechtide %s: %v\n", name, err)
		return 1
	}
	debug.SetGCPercent(50)
	hlog.SetLevel(hlog.LevelFatal)
	ring := logring.New(512, os.Stderr)
	if *logAll {
		ring.WriteAll()
	}
	log := logr.New(ring).WithName(name)
	pool, err := ants.NewPool(512, ants.WithNonblocking(true))
	if err != nil {
		fmt.Fprintf(os.Stderr, "beechtide %s: %v\n", name, err)
		return 1
	}
	defer pool.Release()
	start := time.Now()
	clock := func() int64 { return time.Since(start).Microseconds() + 1 }
	showRing := func() ([]byte, error) {
		var b bytes.Buffer
		ring.Show(&b)
		return b.Bytes(), nil
	}
	var r role
	if name == "router" {
		r, err = router.New(set, pool, clock, log)
	} else {
		r, err = controller.New(set, pool, clock, log)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "beechtide %s: %v\n", name, err)
		return 1
	}
	r.OnRing(showRing)
	log.Info("up", "node", set.Node, "bootstrap", set.Bootstrap)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	quit := make(chan os.Signal, 4)
	signal.Notify(quit, syscall.SIGQUIT, syscall.SIGHUP)
	go func() {
		for s := range quit {
			if s == syscall.SIGQUIT {
				ring.Dump(os.Stderr)
				continue
			}
			changed, err := settings.Load(*path)
			if err != nil {
				log.Error(err, "changed settings do not check; the old ones stay")
				continue
			}
			r.Reload(changed)
		}
	}()
	if err := r.Run(ctx); err != nil {
		log.Error(err, "ended")
		fmt.Fprintf(os.Stderr, "beechtide %s: %v\n", name, err)
		return 1
	}
	return 0
}

func check(args []string) int {
	fs := flag.NewFlagSet("beechtide check", flag.ContinueOnError)
	fs.Usage = func() { fmt.Fprintln(fs.Output(), "usage: beechtide check FILE") }
	if status := parse(fs, args); status >= 0 {
		return status
	}
	if fs.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "beechtide check: name one configuration file")
		return 2
	}
	raw, err := os.ReadFile(fs.Arg(0))
	if err == nil {
		_, err = routeconfig.Parse(raw)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "beechtide check: %v\n", err)
		return 1
	}
	return 0
}
