// Applications that add to a tally at the controllers, and the totals that are read at the end.

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/loop"
)

const (
	tallyName        = "soak"
	tallyCallTimeout = time.Second
	tallyPause       = 100 * time.Millisecond
	tallyTries       = 3
)

// Add is an add of one to the tally, with all its tries.
type Add struct {
	ID           string
	Node         string // to which it was sent last
	Sent         time.Time
	Ended        time.Time
	Acknowledged bool
	MayCount     bool // acknowledged, or a try ended without the promise that nothing was done
}

// TallyTotal is the total of the tally at one controller.
type TallyTotal struct {
	Node     string
	Total    int64
	Answered bool
}

// TallyEvidence holds the observations of the tally.
type TallyEvidence struct {
	Adds   []Add
	Totals []TallyTotal // at the end of the soak
}

func countAcknowledged(adds []Add) (count int) {
	for _, add := range adds {
		if add.Acknowledged {
			count++
		}
	}
	return count
}

// tallyAdders are applications, one beside each controller, which go on to other controllers after a
// failure.
type tallyAdders struct {
	cluster  *cluster
	recorder *recorder
	client   http.Client
}

func newTallyAdders(c *cluster, r *recorder) *tallyAdders {
	return &tallyAdders{cluster: c, recorder: r, client: http.Client{Timeout: tallyCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run adds at every controller until ctx ends, and returns when the last adds have ended.
func (a *tallyAdders) run(ctx context.Context) {
	var running sync.WaitGroup
	for controller := range a.cluster.controllers {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				add := a.add(fmt.Sprintf("%d-%d", controller, n), controller)
				a.recorder.update(func(e *Evidence) { e.Adds = append(e.Adds, add) })
				loop.Pause(ctx, tallyPause)
			}
		})
	}
	running.Wait()
}

// add sends one add, first to the controller with the given index.
func (a *tallyAdders) add(id string, controller int) Add {
	add := Add{ID: id, Sent: time.Now()}
	for try := 0; try < tallyTries && !add.Acknowledged; try++ {
		node := a.cluster.controllers[(controller+try)%len(a.cluster.controllers)]
		add.Node = node.name()
		status := a.amend(node.settings.Listen.Control, id)
		add.Acknowledged = status == http.StatusOK
		nothingDone := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		add.MayCount = add.MayCount || !nothingDone
	}
	add.Ended = time.Now()
	return add
}

// amend makes one call and returns the status; 0 without a complete answer.
func (a *tallyAdders) amend(address, id string) int {
	body, err := json.Marshal(api.TallyAmendment{Id: id, Amount: 1})
	if err != nil {
		return 0
	}
	response, err := a.client.Post("http://"+address+"/api/Tallies.Amend/"+tallyName, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// readTotals reads the tally at every controller once it has all acknowledged adds or finalTimeout has
// passed.
func (a *tallyAdders) readTotals(ctx context.Context) {
	acknowledged := int64(0)
	a.recorder.update(func(e *Evidence) { acknowledged = int64(countAcknowledged(e.Adds)) })
	deadline := time.Now().Add(finalTimeout)
	for _, node := range a.cluster.controllers {
		total := a.read(node)
		for (!total.Answered || total.Total < acknowledged) && time.Now().Before(deadline) && ctx.Err() == nil {
			loop.Pause(ctx, tallyPause)
			total = a.read(node)
		}
		a.recorder.update(func(e *Evidence) { e.Totals = append(e.Totals, total) })
	}
}

func (a *tallyAdders) read(node *process) TallyTotal {
	total := TallyTotal{Node: node.name()}
	response, err := a.client.Get("http://" + node.settings.Listen.Control + "/api/Tallies.Read/" + tallyName)
	if err != nil {
		return total
	}
	defer response.Body.Close()
	var answer api.TallyTotal
	total.Answered = response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&answer) == nil
	total.Total = answer.Total
	return total
}
