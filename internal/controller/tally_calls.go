// The calls of applications that keep tallies (api/calls.yaml). They are answered on either
// side of a partition: no contact with a majority is asked for.

package controller

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"beechtide.org/beechtide/internal/api"
	"beechtide.org/beechtide/internal/tally"
)

const (
	// amendWait is how long an amendment may wait for disks. Callers go on to another machine
	// after a second.
	amendWait = 950 * time.Millisecond
	// maxTallyName bounds the name of a tally, in bytes.
	maxTallyName = 256
)

// amendTally adds to a tally. Before the add is kept anywhere it may be rejected with 503;
// after that the answer is 200, or 504, which promises nothing.
func (d *Controller) amendTally(ctx context.Context, c *app.RequestContext) {
	var amendment api.TallyAmendment
	if !readCall(c, &amendment) {
		return
	}
	name := c.Param("id")
	if name == "" || len(name) > maxTallyName {
		reject(c, 400, "id", "a tally has a name of 1 to 256 bytes")
		return
	}
	add := tally.Add{Tally: name, Key: tally.KeyOf(name, amendment.Id), Amount: amendment.Amount}
	arrivedUs := d.clock()
	number, reason := d.tallies.add(add, arrivedUs)
	if reason != "" {
		reject(c, 503, "", reason)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, amendWait)
	defer cancel()
	if !d.tallies.await(ctx, func() bool { return d.tallies.replica.Acknowledged(number, arrivedUs) }) {
		d.tallies.countLate()
		reject(c, 504, "", "not on enough disks yet; repeat it under the same id")
		return
	}
	c.Status(200)
}

// add takes an add in and returns its number in this replica's log, or why it is not taken. An
// add that this replica has in its log already is taken in any case.
func (t *tallies) add(add tally.Add, arrivedUs int64) (number uint64, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.ready:
		return 0, "starting"
	case t.diskErr != nil:
		return 0, "the disk takes no writes"
	case !t.replica.Confirmable():
		return 0, "too few disks can be reached"
	case t.replica.Full() && !t.replica.Set().Contains(add.Key):
		return 0, "no room for further adds"
	}
	number = t.replica.Append(add)
	t.replica.Await(arrivedUs)
	t.signal()
	return number, ""
}

func (t *tallies) countLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late++
}

// readTally answers the sum of a tally, of all adds that this replica has.
func (d *Controller) readTally(_ context.Context, c *app.RequestContext) {
	total, ok := d.tallies.total(c.Param("id"))
	if !ok {
		reject(c, 503, "", "starting")
		return
	}
	c.JSON(200, api.TallyTotal{Total: total})
}

func (t *tallies) total(name string) (total int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replica.Set().Total(name), t.ready
}
