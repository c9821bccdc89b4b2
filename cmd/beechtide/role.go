package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/controller"
	"beechtide.org/beechtide/internal/invariant"
	"beechtide.org/beechtide/internal/logring"
	"beechtide.org/beechtide/internal/router"
	"beechtide.org/beechtide/internal/settings"
)

// Names of the roles on the command line.
const (
	roleRouter     = "router"
	roleController = "controller"
)

const (
	logLines    = 512 // size of the log ring in memory
	poolSize    = 512 // pooled goroutines for requests; more are started when all are busy
	gcPercent   = 100 // at 50, garbage collection took a tenth of a router's CPU time
	signalQueue = 4

	bytesPerMB = 1 << 20
	// collectAbovePercent is above which share of the memory of a process garbage is collected at once.
	collectAbovePercent = 70
)

// role is a server that runs until its context ends.
type role interface {
	Run(ctx context.Context) error
	Reload(set settings.Settings)
	ServeLogRing(show func() ([]byte, error))
}

// runRole runs a role until SIGTERM or SIGINT.
func runRole(name string, args []string) int {
	flags := flag.NewFlagSet("beechtide "+name, flag.ContinueOnError)
	path := flags.String("config", settings.Path(), "path of the settings file")
	logAll := flags.Bool("log-all", false, "write every line of the log at once, not only when something goes wrong")
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "usage: beechtide %s [flags]\n\nRuns the role until SIGTERM. SIGHUP reads the settings again, SIGQUIT writes the log out.\n", name)
		flags.PrintDefaults()
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	if err := serve(name, *path, *logAll); err != nil {
		reportError(flags, err)
		return statusFailure
	}
	return statusOK
}

func serve(name, settingsPath string, logAll bool) error {
	set, err := settings.Load(settingsPath)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if set.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(set.Limits.MemoryMb) * bytesPerMB / 100 * collectAbovePercent)
	}
	hlog.SetLevel(hlog.LevelFatal)
	ring := newLogRing(logAll)
	log := logr.New(ring).WithName(name)
	invariant.LogTo(log)
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return errors.Wrap(err, "start goroutine pool")
	}
	defer pool.Release()
	r, err := newRole(name, set, pool, log)
	if err != nil {
		return err
	}
	r.ServeLogRing(func() ([]byte, error) { return ringText(ring), nil })
	log.Info("up", "node", set.Node, "bootstrap", set.Bootstrap)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	operator := make(chan os.Signal, signalQueue)
	signal.Notify(operator, syscall.SIGQUIT, syscall.SIGHUP)
	go handleSignals(operator, r, ring, settingsPath, log)
	if err := r.Run(ctx); err != nil {
		log.Error(err, "ended")
		return err
	}
	return nil
}

func newLogRing(writeAll bool) *logring.Ring {
	ring := logring.New(logLines, os.Stderr)
	if writeAll {
		ring.WriteAll()
	}
	return ring
}

func ringText(ring *logring.Ring) []byte {
	var b bytes.Buffer
	ring.Show(&b)
	return b.Bytes()
}

func newRole(name string, set settings.Settings, pool *ants.Pool, log logr.Logger) (role, error) {
	clock := newClock()
	if name == roleRouter {
		return router.New(set, pool, clock, log)
	}
	return controller.New(set, pool, clock, log)
}

// newClock returns a monotonic clock in microseconds that starts at 1, as many callers use
// 0 for "never".
func newClock() func() int64 {
	start := time.Now()
	return func() int64 { return time.Since(start).Microseconds() + 1 }
}

// handleSignals dumps the log ring on SIGQUIT and reloads the settings on SIGHUP. It
// runs until the process ends.
func handleSignals(signals <-chan os.Signal, r role, ring *logring.Ring, settingsPath string, log logr.Logger) {
	for s := range signals {
		if s == syscall.SIGQUIT {
			ring.Dump(os.Stderr)
			continue
		}
		set, err := settings.Load(settingsPath)
		if err != nil {
			log.Error(err, "changed settings are not valid; the earlier ones stay in force")
			continue
		}
		r.Reload(set)
	}
}
