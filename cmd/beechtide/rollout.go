package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/pkg/errors"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/settings"
)

const (
	rolloutCallTimeout  = 2 * time.Second
	rolloutPollInterval = 500 * time.Millisecond
	// maxRolloutAttempts is the maximum number of attempts of a call whose outcome is unknown. Each
	// attempt calls the next controller.
	maxRolloutAttempts = 9

	// statusReverted is the exit status of `rollout watch` if the rollout was reverted.
	statusReverted = 3
)

const rolloutUsage = `usage: beechtide rollout begin  [flags] SERVICE VERSION SECONDS
       beechtide rollout read   [flags] SERVICE
       beechtide rollout watch  [flags] SERVICE

begin asks that a service be brought to another version within a time; read prints how far the
newest rollout of a service has come, and watch goes on until it has ended. Ends with 0, with 1
where no controller gave a clear answer or the order was refused, and watch with 3 where the
rollout was reverted.
`

// rolloutCommand is one invocation of the rollout command.
type rolloutCommand struct {
	flags *flag.FlagSet
	addrs []string // of controllers
	out   io.Writer
}

// runRollout orders rollouts of services and reports their state.
func runRollout(args []string) int {
	flags := flag.NewFlagSet("beechtide rollout", flag.ContinueOnError)
	path := flags.String("config", settings.Path(), "path of the settings file, whose seeds are called")
	at := flags.String("at", "", "control address to call instead of the seeds")
	flags.Usage = func() {
		fmt.Fprint(flags.Output(), rolloutUsage)
		flags.PrintDefaults()
	}
	verb := ""
	if len(args) > 0 && args[0] != "-h" {
		verb, args = args[0], args[1:]
	}
	if status, done := parseFlags(flags, args); done {
		return status
	}
	counts := map[string]int{"begin": 3, "read": 1, "watch": 1}
	if count, known := counts[verb]; !known || flags.NArg() != count {
		return usageError(flags, "takes begin SERVICE VERSION SECONDS, read SERVICE or watch SERVICE; see -h")
	}
	c := rolloutCommand{flags: flags, addrs: []string{*at}, out: os.Stdout}
	if *at == "" {
		set, err := settings.Load(*path)
		if err != nil {
			reportError(flags, err)
			return statusFailure
		}
		c.addrs = set.Seeds
	}
	ctx := context.Background()
	switch verb {
	case "begin":
		return c.begin(ctx, flags.Arg(0), flags.Arg(1), flags.Arg(2))
	case "read":
		return c.read(ctx, flags.Arg(0))
	}
	return c.watch(ctx, flags.Arg(0))
}

// begin sends an order to roll out a version of a service within a time.
func (c *rolloutCommand) begin(ctx context.Context, service, version, seconds string) int {
	over, err := time.ParseDuration(seconds + "s")
	if err != nil || over <= 0 {
		return usageError(c.flags, fmt.Sprintf("%q is not a number of seconds above 0", seconds))
	}
	body, err := json.Marshal(api.RolloutOrder{Service: service, TargetVersion: version, OverS: over.Seconds()})
	if err != nil {
		reportError(c.flags, err)
		return statusFailure
	}
	if _, err := c.call(ctx, http.MethodPost, "/api/Rollouts.Begin", body); err != nil {
		reportError(c.flags, err)
		return statusFailure
	}
	fmt.Fprintf(c.out, "ordered: %s to %s within %s\n", service, version, over)
	return statusOK
}

// state reads the state of the newest rollout of a service.
func (c *rolloutCommand) state(ctx context.Context, service string) (api.RolloutState, error) {
	var state api.RolloutState
	body, err := c.call(ctx, http.MethodGet, "/api/Rollouts.Read/"+url.PathEscape(service), nil)
	if err == nil {
		err = json.Unmarshal(body, &state)
	}
	return state, err
}

func (c *rolloutCommand) read(ctx context.Context, service string) int {
	state, err := c.state(ctx, service)
	if err != nil {
		reportError(c.flags, err)
		return statusFailure
	}
	fmt.Fprintf(c.out, "%s to %s: %s\n", service, state.TargetVersion, state.State)
	return statusOK
}

// watch polls the state and prints each change until the rollout has settled or reverted.
func (c *rolloutCommand) watch(ctx context.Context, service string) int {
	var last api.RolloutState
	for {
		state, err := c.state(ctx, service)
		if err != nil {
			reportError(c.flags, err)
			return statusFailure
		}
		if state != last {
			fmt.Fprintf(c.out, "%s  %s to %s: %s\n", time.Now().Format(time.TimeOnly), service, state.TargetVersion, state.State)
		}
		last = state
		switch state.State {
		case api.Settled:
			return statusOK
		case api.Reverted:
			return statusReverted
		}
		time.Sleep(rolloutPollInterval)
	}
}

// call calls one controller after the other. A status below 500 is final; after a network
// error or a higher status it retries, maxRolloutAttempts attempts in all.
func (c *rolloutCommand) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if len(c.addrs) == 0 {
		return nil, errors.New("no control address: name one with -at, or seeds in the settings")
	}
	var last error
	for try := range maxRolloutAttempts {
		answer, status, err := c.callController(ctx, method, "http://"+c.addrs[try%len(c.addrs)]+path, body)
		switch {
		case err != nil:
			last = err
		case status < 300:
			return answer, nil
		case status < 500:
			return nil, errors.Errorf("%d: %s", status, bytes.TrimSpace(answer))
		default:
			last = errors.Errorf("%d: %s", status, bytes.TrimSpace(answer))
		}
		time.Sleep(rolloutPollInterval / 5)
	}
	return nil, errors.Wrap(last, "no controller gave a clear answer")
}

func (c *rolloutCommand) callController(ctx context.Context, method, address string, body []byte) (answer []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return answer, response.StatusCode, err
}
